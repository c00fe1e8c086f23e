// Which requests are suspected of crashes, and which are taken for their cause.
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

/// The first request ran on trial.
CrashReport Trial(std::uint64_t id, const Digests& digests) {
  CrashReport crash = Crash(id, digests);
  crash.on_trial = 1;
  return crash;
}

Digests DigestsOf(const std::vector<CrashReport>& reports, bool proven) {
  const CrashingRequests requests(reports);
  Digests digests;
  for (const auto& entry : requests.entries()) {
    if (entry.proven() == proven) digests.push_back(entry.request.digest);
  }
  return digests;
}
Digests SuspectsOf(const std::vector<CrashReport>& reports) {
  return DigestsOf(reports, false);
}
Digests CausesOf(const std::vector<CrashReport>& reports) {
  return DigestsOf(reports, true);
}

TEST(CrashingRequestsTest, OneCrashHasNoKnownCause) {
  EXPECT_EQ(CausesOf({Crash(1, {10})}), Digests());
  EXPECT_EQ(CausesOf({Crash(1, {10}), Crash(1, {10}), Crash(1, {10})}), Digests())
      << "the same crash, told three times";
  EXPECT_EQ(SuspectsOf({Crash(1, {10, 11})}), Digests());
  EXPECT_EQ(SuspectsOf({Crash(1, {10})}), Digests{10}) << "nothing ran beside it";
}

// Guards against requests that are taken for the cause of crashes that they ran beside.
TEST(CrashingRequestsTest, NoNumberOfCrashesIsAProof) {
  std::vector<CrashReport> reports;
  for (std::uint64_t id = 1; id <= 50; ++id) reports.push_back(Crash(id, {10}));
  EXPECT_EQ(CausesOf(reports), Digests());
  EXPECT_EQ(SuspectsOf(reports), Digests{10});
}

TEST(CrashingRequestsTest, TwoCrashesOnTrialAreAProof) {
  EXPECT_EQ(CausesOf({Crash(1, {10}), Trial(2, {10, 11})}), Digests());
  EXPECT_EQ(CausesOf({Crash(1, {10}), Trial(2, {10, 11}), Trial(3, {10, 12})}),
            Digests{10});
  EXPECT_EQ(CausesOf({Trial(2, {10}), Trial(2, {10})}), Digests()) << "told twice";
  CrashReport both = Crash(3, {10, 11});
  both.on_trial = 2;
  EXPECT_EQ(CausesOf({Trial(2, {10}), both}), Digests()) << "one of two on trial";
}

TEST(CrashingRequestsTest, AnAcquittalCoversCrashesOnTrial) {
  const std::vector<CrashReport> reports = {Trial(1, {10}), Trial(2, {10}),
                                            Trial(3, {10})};
  const CrashingRequests requests(reports, {{10, {1, 3}}});
  ASSERT_EQ(requests.entries().size(), 1U);
  EXPECT_FALSE(requests.entries()[0].proven());
}

TEST(CrashingRequestsTest, AnEntryNamesTheServersThatCrashed) {
  CrashReport first = Crash(1, {10, 11});
  first.software = 4;
  first.instance = "a";
  CrashReport second = Crash(2, {10, 12});
  second.software = 5;
  second.instance = "b";
  const CrashingRequests requests({first, second});
  const auto* entry = requests.Find(RequestFingerprint{7, 10});
  ASSERT_NE(entry, nullptr);
  EXPECT_TRUE(entry->Crashed(4));
  EXPECT_TRUE(entry->Crashed(5));
  EXPECT_FALSE(entry->Crashed(6));
  EXPECT_EQ(entry->instances, (std::set<std::string>{"a", "b"}));
}

TEST(CrashingRequestsTest, TheOnlyRequestOfTwoCrashesIsSuspected) {
  EXPECT_EQ(SuspectsOf({Crash(1, {10, 11, 12}), Crash(2, {13, 10, 14})}), Digests{10});
}

// Requests that were cut together are sent on at once and may meet again.
// Guards against suspecting what ran beside the cause.
TEST(CrashingRequestsTest, TwoSuspectsOfTwoCrashesNeedAThird) {
  EXPECT_EQ(SuspectsOf({Crash(1, {10, 11}), Crash(2, {10, 11})}), Digests());
  EXPECT_EQ(SuspectsOf({Crash(1, {10, 11}), Crash(2, {10, 11}), Crash(3, {10, 12})}),
            Digests{10});
}

TEST(CrashingRequestsTest, ACrashWithASuspectClearsTheOthers) {
  // 11 ran in a crash of 10 and in one of 20.
  const std::vector<CrashReport> reports = {Crash(1, {10, 11}), Crash(2, {10}),
                                            Crash(3, {10}),     Crash(4, {20, 11}),
                                            Crash(5, {20}),     Crash(6, {20})};
  EXPECT_EQ(SuspectsOf(reports), (Digests{10, 20}));
  EXPECT_EQ(
      CausesOf({Trial(1, {10, 11}), Trial(2, {10}), Trial(4, {20, 11}), Trial(5, {20})}),
      (Digests{10, 20}));
}

// Guards against a cause that is not found since a request that is popular ran beside it.
TEST(CrashingRequestsTest, AnAcquittalLeavesTheCrashToTheOthers) {
  const std::vector<CrashReport> reports = {Crash(1, {10, 11}), Crash(2, {10, 11}),
                                            Crash(3, {10})};
  EXPECT_EQ(SuspectsOf(reports), Digests{10});
  const CrashingRequests requests(reports, {{10, {1, 2, 3}}});
  ASSERT_EQ(requests.entries().size(), 1U);
  EXPECT_EQ(requests.entries()[0].request.digest, 11U);
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
  EXPECT_EQ(CrashingRequests({crash}).Judge(known, true), CrashVerdict::kSuspected);
  crash.on_trial = 1;
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
  crash.on_trial = 1;
  CrashReport second = crash;
  second.id = 1;
  EXPECT_EQ(CrashingRequests({crash, second}).Judge(known, false),
            CrashVerdict::kCrashes);
}

}  // namespace
}  // namespace quetzal
