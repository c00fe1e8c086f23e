// The crashes that a node tells the fleet of.
#include "node/crash_log.h"

#include <set>

#include <gtest/gtest.h>

namespace quetzal {
namespace {

class CrashLogTest : public ::testing::Test {
 protected:
  static CrashReport Crash(std::uint64_t id, std::size_t requests) {
    CrashReport crash;
    crash.id = id;
    for (std::size_t n = 0; n < requests; ++n)
      crash.requests.push_back({1, 100 * id + n});
    return crash;
  }
  ServerObservations Observations() const {
    ServerObservations observations;
    log_.WriteTo(&observations);
    return observations;
  }
  std::set<std::uint64_t> Ids() const {
    std::set<std::uint64_t> ids;
    const ServerObservations observations = Observations();
    for (const ServerCrash& crash : observations.crashes()) ids.insert(crash.id());
    return ids;
  }

  ManualClock clock_;
  CrashLog log_{&clock_};
};

TEST_F(CrashLogTest, ACrashExpires) {
  EXPECT_TRUE(log_.Add(Crash(1, 2)));
  EXPECT_FALSE(log_.Add(Crash(1, 2))) << "told by another member";
  clock_.Advance(kCrashRetention - std::chrono::seconds(1));
  EXPECT_FALSE(log_.DropExpired());
  EXPECT_EQ(Ids().size(), 1u);
  clock_.Advance(std::chrono::seconds(1));
  EXPECT_TRUE(log_.DropExpired());
  EXPECT_TRUE(Ids().empty());
}

// A server that crashes again and again, with other requests each time. Guards against
// member records that do not fit into a datagram.
TEST_F(CrashLogTest, AFloodOfCrashesIsBounded) {
  for (std::uint64_t id = 1; id <= 100; ++id) {
    log_.Add(Crash(id, 20));
    log_.Acquit({id, {1, 2, 3, 4, 5, 6, 7, 8, 9}});
    EXPECT_LE(Observations().ByteSizeLong(), 800u);
  }
  EXPECT_EQ(Ids(), (std::set<std::uint64_t>{99, 100}));
}

TEST_F(CrashLogTest, AcquittalsExpireAndAreBounded) {
  for (std::uint64_t digest = 0; digest < 20; ++digest) log_.Acquit({digest, {1, 2}});
  log_.Acquit({19, {3}});
  const ServerObservations observations = Observations();
  EXPECT_EQ(observations.acquittals_size(), 2);
  EXPECT_EQ(observations.acquittals(1).crashes(0), 3u);
  clock_.Advance(kCrashRetention);
  EXPECT_TRUE(log_.DropExpired());
  EXPECT_EQ(Observations().acquittals_size(), 0);
}

// Guards against crashes that count again since later ones are excused as well.
TEST_F(CrashLogTest, ALaterAcquittalKeepsTheCrashesOfTheEarlierOne) {
  log_.Acquit({10, {1, 2}});
  log_.Acquit({10, {3, 2}});
  const ServerObservations observations = Observations();
  ASSERT_EQ(observations.acquittals_size(), 1);
  const auto& crashes = observations.acquittals(0).crashes();
  EXPECT_EQ(std::set<std::uint64_t>(crashes.begin(), crashes.end()),
            (std::set<std::uint64_t>{1, 2, 3}));
}

// Guards against a cause that is never told, since a suspected request ran beside it.
TEST_F(CrashLogTest, ASuspectedRequestHidesNoOther) {
  log_.Add(Crash(1, 3));
  log_.Explain(CrashingRequests({{1, {{1, 100}}, 1}, {2, {{1, 100}}}}));
  EXPECT_EQ(Observations().crashes(0).digests_size(), 3);
}

TEST_F(CrashLogTest, AnAcquittedRequestIsNotToldAgain) {
  CrashReport crash = Crash(1, 3);
  crash.on_trial = 2;
  log_.Add(crash);
  log_.Add(Crash(2, 1));
  log_.Explain(CrashingRequests({}, {{100, {1}}, {200, {2}}}));
  const ServerObservations observations = Observations();
  ASSERT_EQ(observations.crashes_size(), 1) << "nothing is left of the second";
  EXPECT_EQ(observations.crashes(0).digests_size(), 2);
  EXPECT_EQ(observations.crashes(0).on_trial(), 1U);
}

// Guards against a flood that makes the fleet forget a known cause.
TEST_F(CrashLogTest, CrashesWithAKnownCauseAreDroppedLast) {
  log_.Add(Crash(1, 20));
  log_.Explain(CrashingRequests({{1, {{1, 100}}, 1}, {2, {{1, 100}}, 1}}));
  EXPECT_EQ(Observations().crashes(0).digests_size(), 1) << "the cause alone";
  for (std::uint64_t id = 2; id <= 100; ++id) log_.Add(Crash(id, 20));
  EXPECT_EQ(Ids(), (std::set<std::uint64_t>{1, 100}));
}

}  // namespace
}  // namespace quetzal
