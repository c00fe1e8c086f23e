// Where suspected requests run, and when they are acquitted.
#include "calls/request_trials.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace quetzal {
namespace {

constexpr int kRunsOfATrial = 8;

std::uint32_t Software() { return HashOfSoftware("desk", ""); }

class RequestTrialsTest : public ::testing::Test {
 protected:
  static CrashingRequests::Entry Suspect(std::uint64_t digest,
                                         const std::vector<std::uint64_t>& crashes,
                                         const std::string& version = "") {
    CrashingRequests::Entry entry;
    entry.request = {7, digest};
    entry.crashes = crashes;
    entry.software.assign(crashes.size(), HashOfSoftware("desk", version));
    return entry;
  }
  /// Runs that finish one after the other; the acquittal of the last one.
  std::optional<Acquittal> Finish(const CrashingRequests::Entry& suspect, int runs) {
    std::optional<Acquittal> acquittal;
    for (int n = 0; n < runs; ++n) {
      EXPECT_FALSE(acquittal) << "after " << n << " runs";
      acquittal = trials_.End(*trials_.Begin(suspect, Software()), true);
    }
    return acquittal;
  }

  RequestTrials trials_;
};

TEST_F(RequestTrialsTest, RunsThatFinishAcquitOfTheKnownCrashes) {
  const auto acquittal = Finish(Suspect(10, {1, 2}), kRunsOfATrial);
  ASSERT_TRUE(acquittal);
  EXPECT_EQ(acquittal->digest, 10U);
  EXPECT_EQ(acquittal->crashes, (std::vector<std::uint64_t>{1, 2}));
}

TEST_F(RequestTrialsTest, RunsThatDoNotFinishProveNothing) {
  for (int n = 0; n < 2 * kRunsOfATrial; ++n) {
    EXPECT_FALSE(trials_.End(*trials_.Begin(Suspect(10, {1}), Software()), false));
  }
}

// Guards against a request that crashes servers from now on and is acquitted by its runs
// of before.
TEST_F(RequestTrialsTest, ANewCrashRestartsTheTrial) {
  EXPECT_FALSE(Finish(Suspect(10, {1}), kRunsOfATrial - 1));
  const auto earlier = trials_.Begin(Suspect(10, {1}), Software());
  EXPECT_FALSE(Finish(Suspect(10, {1, 2}), kRunsOfATrial - 1));
  EXPECT_FALSE(trials_.End(*earlier, true)) << "it began before the crash was known";
  EXPECT_TRUE(Finish(Suspect(10, {1, 2}), 1));
}

// Guards against a crash that does not show which of two requests caused it.
TEST_F(RequestTrialsTest, OneRequestAtATime) {
  const auto first = trials_.Begin(Suspect(10, {1}), Software());
  const auto second = trials_.Begin(Suspect(10, {1}), Software());
  ASSERT_TRUE(first);
  ASSERT_TRUE(second);
  EXPECT_FALSE(trials_.Begin(Suspect(11, {1}), Software()));
  trials_.End(*first, true);
  EXPECT_FALSE(trials_.Begin(Suspect(11, {1}), Software()));
  trials_.End(*second, false);
  EXPECT_TRUE(trials_.Begin(Suspect(11, {1}), Software()));
}

// Guards against a request that crashes the servers of one version, and is acquitted by
// those of another.
TEST_F(RequestTrialsTest, ARunSpeaksForItsVersionOnly) {
  CrashingRequests::Entry suspect = Suspect(10, {1, 2}, "v1");
  suspect.software[1] = HashOfSoftware("desk", "v2");
  const auto run = trials_.Begin(suspect, HashOfSoftware("desk", "v2"));
  ASSERT_TRUE(run);
  EXPECT_EQ(run->crashes, std::vector<std::uint64_t>{2});
}

TEST_F(RequestTrialsTest, ManySuspectsAreBounded) {
  for (std::uint64_t digest = 1; digest <= 1000; ++digest) {
    EXPECT_FALSE(Finish(Suspect(digest, {1}), 1));
  }
  EXPECT_TRUE(Finish(Suspect(1001, {1}), kRunsOfATrial));
}

class TrialServerTest : public RequestTrialsTest {
 protected:
  TrialServerTest() {
    for (const char* name : {"a", "b", "c", "d"}) {
      BackendTarget target;
      target.instance = name;
      target.service = "desk";
      target.state = SERVER_UP;
      targets_.push_back(target);
    }
  }
  std::string Choose(const CrashingRequests::Entry& suspect) const {
    std::vector<const BackendTarget*> pointers;
    for (const BackendTarget& target : targets_) pointers.push_back(&target);
    const BackendTarget* chosen = TrialServer(suspect, pointers);
    return chosen == nullptr ? "" : chosen->instance;
  }

  std::vector<BackendTarget> targets_;
};

TEST_F(TrialServerTest, AllNodesChooseTheSameOneInAnyOrder) {
  for (std::uint64_t digest = 0; digest < 20; ++digest) {
    const std::string chosen = Choose(Suspect(digest, {1}));
    std::reverse(targets_.begin(), targets_.end());
    EXPECT_EQ(Choose(Suspect(digest, {1})), chosen);
  }
}

TEST_F(TrialServerTest, SuspectsAreSpreadOverTheServers) {
  std::set<std::string> chosen;
  for (std::uint64_t digest = 0; digest < 50; ++digest) {
    chosen.insert(Choose(Suspect(digest, {1})));
  }
  EXPECT_EQ(chosen.size(), targets_.size());
}

// Guards against a request that is proven by servers that crash by themselves.
TEST_F(TrialServerTest, AServerThatCrashedIsTheLastChoice) {
  CrashingRequests::Entry suspect = Suspect(10, {1});
  for (const std::string last : {"a", "b", "c", "d"}) {
    suspect.instances = {"a", "b", "c", "d"};
    suspect.instances.erase(last);
    EXPECT_EQ(Choose(suspect), last);
  }
  suspect.instances = {"a", "b", "c", "d"};
  EXPECT_NE(Choose(suspect), "");
}

// Guards against a request to several services that crashes those of one, and is
// acquitted by another.
TEST_F(TrialServerTest, AServerOfAnotherServiceIsNoTrial) {
  for (BackendTarget& target : targets_) target.service = "portfolio";
  EXPECT_EQ(Choose(Suspect(10, {1})), "");
}

TEST_F(TrialServerTest, OnlyServersThatAreUpAndOfAVersionThatCrashed) {
  targets_[2].version = "v2";
  EXPECT_EQ(Choose(Suspect(10, {1}, "v2")), "c");
  targets_[2].state = SERVER_LEAVING;
  EXPECT_EQ(Choose(Suspect(10, {1}, "v2")), "");
}

}  // namespace
}  // namespace quetzal
