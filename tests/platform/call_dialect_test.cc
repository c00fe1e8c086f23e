#include "calls/call_dialect.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "base/result_code.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;

class PlatformDialectTest : public testing::Test {
 protected:
  std::string StatusOf(const Refusal& refusal) const {
    return std::string(
        HeaderValue(dialect_->WriteRefusal(refusal, false).headers, ":status"));
  }

  std::unique_ptr<CallDialect> dialect_ =
      CallDialectRegistry::Instance().Create("platform");
};

TEST_F(PlatformDialectTest, ReadsCallerMetadata) {
  const CallerMetadata metadata =
      dialect_->ReadCaller({{"x-attempt-id", "9c41"}, {"x-deadline-ms", "1500"}});
  EXPECT_EQ(metadata.request_id, "9c41");
  EXPECT_EQ(metadata.remaining, Duration(milliseconds(1500)));
  EXPECT_FALSE(dialect_->ReadCaller({{"x-deadline-ms", "soon"}}).remaining);
}

TEST_F(PlatformDialectTest, ServerFieldsThatCallersSendAreReplaced) {
  StreamHeaders headers = {{"x-attempt-id", "9c41"},
                           {"x-caller-service", "forged"},
                           {"x-expect-instance", "forged"},
                           {"x-deadline-ms", "99999"}};
  ServerMetadata metadata;
  metadata.remaining = milliseconds(250);
  metadata.server_id = "i-7f";
  metadata.caller_service = "desk";
  dialect_->WriteServer(metadata, &headers);
  EXPECT_EQ(headers, (StreamHeaders{{"x-attempt-id", "9c41"},
                                    {"x-deadline-ms", "250"},
                                    {"x-expect-instance", "i-7f"},
                                    {"x-caller-service", "desk"}}));
}

TEST_F(PlatformDialectTest, ReadsAnswerMetadata) {
  const StreamHeaders good = {
      {":status", "200"}, {"x-attempt-id", "9c41"}, {"x-response-seal", "3e1b"}};
  EXPECT_EQ(dialect_->ReadAnswer(good).request_id, "9c41");
  EXPECT_FALSE(dialect_->ReadAnswer(good).not_run);
  EXPECT_FALSE(dialect_->ReadAnswer(good).unverified);
  EXPECT_TRUE(dialect_->ReadAnswer({{":status", "200"}}).unverified);
  StreamHeaders encoded = good;
  encoded.emplace_back("content-encoding", "gzip");
  EXPECT_TRUE(dialect_->ReadAnswer(encoded).unverified);
  EXPECT_TRUE(
      dialect_->ReadAnswer({{":status", "503"}, {"x-not-executed", "1"}}).not_run);
  EXPECT_FALSE(dialect_->ReadAnswer({{":status", "503"}}).not_run)
      << "without the not-run field, a server's 503 may follow a run";
  EXPECT_FALSE(dialect_->ReadAnswer({{":status", "500"}}).unverified);
  const AnswerMetadata stale = dialect_->ReadAnswer({{":status", "421"}});
  EXPECT_TRUE(stale.not_run && stale.stale);
}

// Guards against requests to a server whose answers say that it leaves.
TEST_F(PlatformDialectTest, ReadsThatTheServerLeaves) {
  EXPECT_TRUE(
      dialect_->ReadAnswer({{":status", "500"}, {"server-leaving", "1"}}).leaving);
  EXPECT_FALSE(dialect_->ReadAnswer({{":status", "500"}}).leaving);
}

TEST_F(PlatformDialectTest, ReadsTheRateLimitOfTheServer) {
  const auto limit = [this](const std::string& value) {
    return dialect_->ReadAnswer({{":status", "500"}, {"server-limit", value}}).rate_limit;
  };
  EXPECT_EQ(limit("18.7"), 18.7);
  EXPECT_EQ(limit("0"), 0.0);
  for (const char* value : {"", "-1", "1e3", "many", "5 ", "nan", "inf"}) {
    EXPECT_EQ(limit(value), std::nullopt) << value;
  }
}

struct StatusRow {
  ResultCode code;
  bool not_run;
  const char* status;
};

// One row for each result code of a call. 503 guarantees that the request has not run;
// 502 and 504 do not.
TEST_F(PlatformDialectTest, StatusOfEachOutcome) {
  for (const StatusRow& row : std::initializer_list<StatusRow>{
           {ResultCode::kNoRoute, true, "404"},
           {ResultCode::kRequestMalformed, true, "400"},
           {ResultCode::kBodyTooLarge, true, "413"},
           {ResultCode::kRequestCrashesServers, true, "400"},
           {ResultCode::kRequestCrashesServers, false, "400"},
           {ResultCode::kNoBackendServer, true, "503"},
           {ResultCode::kServerLeaving, true, "503"},
           {ResultCode::kServerFull, true, "503"},
           {ResultCode::kShed, true, "503"},
           {ResultCode::kStaleIncarnation, true, "503"},
           {ResultCode::kNodeStarting, true, "503"},
           {ResultCode::kNodeStopping, true, "503"},
           {ResultCode::kCredentialUnknown, true, "401"},
           {ResultCode::kCredentialUnproved, true, "503"},
           {ResultCode::kQuotaExceeded, true, "429"},
           {ResultCode::kConnectFailed, true, "503"},
           {ResultCode::kDeadlineExceeded, true, "503"},
           {ResultCode::kDeadlineExceeded, false, "504"},
           {ResultCode::kTimeout, false, "504"},
           {ResultCode::kOutcomeUnknown, false, "502"},
           {ResultCode::kAnswerCut, false, "502"},
           {ResultCode::kConnectionLost, false, "502"},
           {ResultCode::kStreamReset, false, "502"},
           {ResultCode::kInternalError, false, "502"},
       }) {
    EXPECT_EQ(StatusOf({row.code, row.not_run}), row.status)
        << InfoOf(row.code).name << " not run: " << row.not_run;
  }
}

TEST_F(PlatformDialectTest, RetryAfterOnlyWhenTheRequestHasNotRun) {
  const RefusalAnswer full =
      dialect_->WriteRefusal({ResultCode::kServerFull, true, milliseconds(135)}, true);
  EXPECT_EQ(HeaderValue(full.headers, "retry-after"), "0.135");
  EXPECT_EQ(HeaderValue(full.headers, "connection"), "close");
  EXPECT_EQ(HeaderValue(full.headers, "content-length"),
            std::to_string(full.body.size()));
  const RefusalAnswer unknown =
      dialect_->WriteRefusal({ResultCode::kAnswerCut, false, milliseconds(135)}, false);
  EXPECT_EQ(HeaderValue(unknown.headers, "retry-after"), "");
}

// Guards against callers that repeat a request whose key is unknown, and callers over
// their quota that return at once.
TEST_F(PlatformDialectTest, RetryAfterOfRequestsOfTeams) {
  const auto retry_after = [this](ResultCode code) {
    return std::string(HeaderValue(
        dialect_->WriteRefusal({code, true, milliseconds(500)}, false).headers,
        "retry-after"));
  };
  EXPECT_EQ(retry_after(ResultCode::kCredentialUnknown), "");
  EXPECT_EQ(retry_after(ResultCode::kCredentialUnproved), "0.500");
  EXPECT_EQ(retry_after(ResultCode::kQuotaExceeded), "0.500");
}

TEST_F(PlatformDialectTest, TheTeamIsStatedToServersInsteadOfTheKey) {
  StreamHeaders headers = {{"authorization", "Bearer k-1"},
                           {"x-tenant", "forged"},
                           {"x-attempt-id", "9c41"},
                           {"x-tenant", "forged again"}};
  EXPECT_EQ(dialect_->ReadCredential(headers).text, "k-1");
  dialect_->RemoveTeamFields(&headers);
  EXPECT_EQ(headers, (StreamHeaders{{"x-attempt-id", "9c41"}}));
  ServerMetadata metadata;
  metadata.team = "rioja";
  metadata.remaining = milliseconds(250);
  dialect_->WriteServer(metadata, &headers);
  EXPECT_EQ(headers, (StreamHeaders{{"x-attempt-id", "9c41"},
                                    {"x-deadline-ms", "250"},
                                    {"x-tenant", "rioja"}}));
}

// Without teams, both fields belong to callers and servers.
TEST_F(PlatformDialectTest, WithoutATeamItsFieldsPass) {
  StreamHeaders headers = {{"authorization", "Basic x"}, {"x-tenant", "callers own"}};
  dialect_->WriteServer({}, &headers);
  EXPECT_EQ(HeaderValue(headers, "authorization"), "Basic x");
  EXPECT_EQ(HeaderValue(headers, "x-tenant"), "callers own");
}

TEST_F(PlatformDialectTest, ArbitraryFieldValuesAreRead) {
  EXPECT_TRUE(rc::check([this](const std::vector<std::string>& values) {
    StreamHeaders headers;
    const char* const names[] = {":status",        "x-attempt-id",    "x-deadline-ms",
                                 "x-not-executed", "x-response-seal", "server-limit",
                                 "authorization",  "x-tenant"};
    for (std::size_t n = 0; n < values.size(); ++n) {
      headers.emplace_back(names[n % 8], values[n]);
    }
    dialect_->ReadCaller(headers);
    dialect_->ReadCredential(headers);
    dialect_->ReadAnswer(headers);
    dialect_->WriteServer({}, &headers);
  }));
}

}  // namespace
}  // namespace quetzal
