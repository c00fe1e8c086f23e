#include "calls/request_fingerprint.h"

#include <set>

#include <gtest/gtest.h>

namespace quetzal {
namespace {

RequestFingerprint Of(const std::string& method, const std::string& route,
                      const std::string& path, const StreamHeaders& fields,
                      const std::string& body) {
  RequestIdentity identity(method, route, path, fields);
  identity.AppendBody(body);
  return identity.Fingerprint();
}

TEST(RequestFingerprintTest, CoversHeadCredentialsAndBody) {
  const StreamHeaders token = {{"authorization", "a"}};
  std::set<std::uint64_t> digests = {
      Of("GET", "h", "/p", {}, "").digest,    Of("POST", "h", "/p", {}, "").digest,
      Of("GET", "h2", "/p", {}, "").digest,   Of("GET", "h", "/p?q", {}, "").digest,
      Of("GET", "h", "/p", token, "").digest, Of("GET", "h", "/p", {}, "body").digest,
      Of("GET", "h/", "p", {}, "").digest};
  EXPECT_EQ(digests.size(), 7u);
}

// Guards against a request that counts as another one when it comes by another way.
TEST(RequestFingerprintTest, LeavesOutWhatChangesWithTheAttempt) {
  const auto first = Of("GET", "h", "/p", {{"x-attempt-id", "1"}, {"via", "a"}}, "b");
  const auto again = Of("GET", "h", "/p", {{"x-attempt-id", "2"}}, "b");
  EXPECT_EQ(first.head, again.head);
  EXPECT_EQ(first.digest, again.digest);
}

TEST(RequestFingerprintTest, PiecesOfABodyMakeNoDifference) {
  RequestIdentity identity("POST", "h", "/p", {});
  identity.AppendBody("ab");
  identity.AppendBody("c");
  EXPECT_EQ(identity.Fingerprint().digest, Of("POST", "h", "/p", {}, "abc").digest);
  EXPECT_EQ(identity.HeadDigest(), identity.Fingerprint().head);
}

TEST(RequestFingerprintTest, OnlyTheFirstBytesOfALongBodyCount) {
  const std::string start(kFingerprintBodyBytes, 'x');
  RequestIdentity identity("POST", "h", "/p", {});
  identity.AppendBody(start + "more");
  EXPECT_TRUE(identity.body_full());
  EXPECT_EQ(identity.Fingerprint().digest, Of("POST", "h", "/p", {}, start).digest);
  EXPECT_NE(identity.Fingerprint().digest,
            Of("POST", "h", "/p", {}, start.substr(1)).digest);
}

// Guards against a request of one team that is refused as another team's request crashes
// servers, and against a fingerprint that covers the key.
TEST(RequestFingerprintTest, TheTeamCountsInPlaceOfTheCredential) {
  const auto of_team = [](const std::string& team, const std::string& key) {
    return RequestIdentity("GET", "r", "/p", {{"authorization", "Bearer " + key}}, team)
        .Fingerprint()
        .digest;
  };
  EXPECT_NE(of_team("rioja", "k-1"), of_team("soria", "k-1"));
  EXPECT_EQ(of_team("rioja", "k-1"), of_team("rioja", "k-2"));
  EXPECT_NE(of_team("", "k-1"), of_team("", "k-2"));
}

}  // namespace
}  // namespace quetzal
