// Which requests are taken for the cause of crashes.
#include "calls/crashing_requests.h"

#include <vector>

#include <gtest/gtest.h>

namespace quetzal {
namespace {

using Digests = std::vector<std::uint64_t>;

CrashReport Crash(std::uint64_t id, const Digests& digests) {
  CrashReport crash;
  crash.id = id;
  for (const std::uint64_t digest : digests) crash.requests.push_back({7, digest});
  return crash;
}

Digests CausesOf(const std::vector<CrashReport>& reports) {
  const CrashingRequests requests(reports);
  Digests causes;
  for (const auto& entry : requests.entries()) {
    causes.push_back(entry.request.digest);
  }
  return causes;
}

TEST(CrashingRequestsTest, OneCrashHasNoKnownCause) {
  EXPECT_EQ(CausesOf({Crash(1, {10})}), Digests());
  EXPECT_EQ(CausesOf({Crash(1, {10}), Crash(1, {10}), Crash(1, {10})}), Digests())
      << "the same crash, told three times";
}

TEST(CrashingRequestsTest, TheOnlyRequestOfTwoCrashesIsTheirCause) {
  EXPECT_EQ(CausesOf({Crash(1, {10, 11, 12}), Crash(2, {13, 10, 14})}), Digests{10});
}

// Requests that were cut together are sent on at once and may meet again.
// Guards against shutting out what ran beside the cause.
TEST(CrashingRequestsTest, TwoSuspectsOfTwoCrashesNeedAThird) {
  EXPECT_EQ(CausesOf({Crash(1, {10, 11}), Crash(2, {10, 11})}), Digests());
  EXPECT_EQ(CausesOf({Crash(1, {10, 11}), Crash(2, {10, 11}), Crash(3, {10, 12})}),
            Digests{10});
}

TEST(CrashingRequestsTest, ACrashWithAKnownCauseClearsTheOthers) {
  // 11 ran in a crash of 10 and in one of 20.
  EXPECT_EQ(CausesOf({Crash(1, {10, 11}), Crash(2, {10}), Crash(3, {10}),
                      Crash(4, {20, 11}), Crash(5, {20}), Crash(6, {20})}),
            (Digests{10, 20}));
}

TEST(CrashingRequestsTest, AnAcquittalCoversTheCrashesThatItNames) {
  const std::vector<CrashReport> reports = {Crash(1, {10}), Crash(2, {10})};
  const CrashingRequests found(reports);
  const auto* entry = found.Find("000000000000000a");
  ASSERT_NE(entry, nullptr);
  const Acquittal acquittal{10, entry->crashes};
  EXPECT_TRUE(CrashingRequests(reports, {acquittal}).empty());
  const std::vector<CrashReport> more = {Crash(1, {10}), Crash(2, {10}), Crash(3, {10}),
                                         Crash(4, {10})};
  EXPECT_FALSE(CrashingRequests(more, {acquittal}).empty()) << "it crashed two more";
}

TEST(CrashingRequestsTest, JudgesByHeadAndBody) {
  RequestIdentity known("POST", "h", "/p", {});
  known.AppendBody("bad");
  CrashReport crash;
  crash.requests = {known.Fingerprint()};
  CrashReport second = crash;
  second.id = 1;
  const CrashingRequests requests({crash, second});
  EXPECT_EQ(requests.Judge(known, true), CrashVerdict::kCrashes);
  EXPECT_EQ(requests.Judge(known, false), CrashVerdict::kUndecided);
  known.AppendBody("der");
  EXPECT_EQ(requests.Judge(known, true), CrashVerdict::kHarmless);
  EXPECT_EQ(requests.Judge(RequestIdentity("POST", "h", "/q", {}), false),
            CrashVerdict::kHarmless);
}

// A long body is judged by its start, without waiting for the rest.
TEST(CrashingRequestsTest, ALongBodyIsJudgedBeforeItsEnd) {
  RequestIdentity known("POST", "h", "/p", {});
  known.AppendBody(std::string(kFingerprintBodyBytes, 'x'));
  CrashReport crash;
  crash.requests = {known.Fingerprint()};
  CrashReport second = crash;
  second.id = 1;
  EXPECT_EQ(CrashingRequests({crash, second}).Judge(known, false),
            CrashVerdict::kCrashes);
}

}  // namespace
}  // namespace quetzal
