#include "control/convergence_tracker.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "control/control_fakes.h"

namespace quetzal {
namespace {

Version At(std::uint64_t index) {
  Version version;
  version.set_term(1);
  version.set_index(index);
  return version;
}

class ConvergenceTrackerTest : public testing::Test {
 protected:
  ConvergenceTrackerTest() : tracker_(&clock_, settings_) {
    configuration_.add_data_centres("haro");
    configuration_.add_data_centres("logrono");
    AdvanceRunning(settings_.proxy_lease);
    for (const char* name : {"a", "b"}) Ack(name, "haro", 1);
    Ack("c", "logrono", 1);
    tracker_.OnConfirmed(At(5), configuration_, 1000);
  }

  /// Advances the clock in steps short enough that the tracker detects no pause.
  void AdvanceRunning(Duration time) {
    for (; time > Duration(0); time -= std::chrono::seconds(1)) {
      clock_.Advance(std::min<Duration>(time, std::chrono::seconds(1)));
      tracker_.Sweep();
    }
  }

  void Ack(const std::string& name, const std::string& data_centre, std::uint64_t applied,
           std::uint64_t incarnation = 1, MemberState state = MEMBER_ALIVE,
           Duration age = Duration(0)) {
    ProxyAck ack = MakeAck(name, data_centre, "taller", At(applied), incarnation);
    ack.state = state;
    ack.age = age;
    tracker_.OnAck(ack);
  }

  void AckAll(std::uint64_t applied) {
    Ack("a", "haro", applied);
    Ack("b", "haro", applied);
    Ack("c", "logrono", applied);
  }

  ConvergenceSettings settings_;
  ManualClock clock_;
  Configuration configuration_;
  ConvergenceTracker tracker_;
};

TEST_F(ConvergenceTrackerTest, DoneOnceEveryLiveProxyAcknowledged) {
  Ack("a", "haro", 5);
  Ack("c", "logrono", 5);
  ConvergenceReport report = tracker_.Report(At(5));
  EXPECT_FALSE(report.done);
  ASSERT_EQ(report.waiting.size(), 1U);
  EXPECT_EQ(report.waiting[0].ack.instance, "b");
  clock_.Advance(std::chrono::milliseconds(40));
  Ack("b", "haro", 6);
  EXPECT_EQ(tracker_.TakeDone(1600).size(), 1U);
  report = tracker_.Report(At(5));
  EXPECT_TRUE(report.done);
  EXPECT_EQ(report.convergence_time, Duration(std::chrono::milliseconds(40)));
  EXPECT_EQ(report.control_bytes, 600U);
  EXPECT_TRUE(tracker_.TakeDone(1700).empty());
}

TEST_F(ConvergenceTrackerTest, EarlierIncarnationsDoNotCount) {
  AckAll(5);
  Ack("b", "haro", 0, 2);
  Ack("b", "haro", 5, 1);
  EXPECT_FALSE(tracker_.Report(At(5)).done);
  Ack("b", "haro", 5, 2);
  EXPECT_TRUE(tracker_.Report(At(5)).done);
}

TEST_F(ConvergenceTrackerTest, RestartedProxyMakesItPendingAgain) {
  AckAll(5);
  EXPECT_EQ(tracker_.TakeDone(0).size(), 1U);
  Ack("b", "haro", 0, 2);
  EXPECT_FALSE(tracker_.Report(At(5)).done);
  EXPECT_TRUE(tracker_.Report(At(5)).was_done);
  Ack("b", "haro", 5, 2);
  EXPECT_TRUE(tracker_.Report(At(5)).done);
}

TEST_F(ConvergenceTrackerTest, LateReportsDoNotRevokeAcknowledgements) {
  AckAll(5);
  Ack("b", "haro", 1, 1, MEMBER_ALIVE, std::chrono::seconds(3));
  EXPECT_TRUE(tracker_.Report(At(5)).done);
}

TEST_F(ConvergenceTrackerTest, UnresponsiveProxyIsReportedAndNotWaitedFor) {
  Ack("a", "haro", 5);
  Ack("c", "logrono", 5);
  AdvanceRunning(settings_.proxy_lease + std::chrono::seconds(1));
  Ack("a", "haro", 5);
  Ack("c", "logrono", 5);
  const ConvergenceReport report = tracker_.Report(At(5));
  EXPECT_TRUE(report.done);
  ASSERT_EQ(report.unresponsive.size(), 1U);
  EXPECT_EQ(report.unresponsive[0].ack.instance, "b");
}

TEST_F(ConvergenceTrackerTest, UnresponsiveDataCentreKeepsItPending) {
  AckAll(5);
  tracker_.OnConfirmed(At(9), configuration_, 0);
  Ack("a", "haro", 9);
  Ack("b", "haro", 9);
  AdvanceRunning(settings_.proxy_lease * 20);
  Ack("a", "haro", 9);
  Ack("b", "haro", 9);
  const ConvergenceReport report = tracker_.Report(At(9));
  EXPECT_FALSE(report.done);
  ASSERT_EQ(report.cut_off.size(), 1U);
  EXPECT_EQ(report.cut_off[0].name, "logrono");
  EXPECT_EQ(report.cut_off[0].proxies, 1U);
  Ack("c", "logrono", 9);
  EXPECT_TRUE(tracker_.Report(At(9)).done);
}

TEST_F(ConvergenceTrackerTest, DeadAndLeftProxiesAreNotWaitedFor) {
  Ack("a", "haro", 5);
  Ack("c", "logrono", 5);
  Ack("b", "haro", 1, 1, MEMBER_DEAD);
  EXPECT_TRUE(tracker_.Report(At(5)).done);
  Ack("b", "haro", 1);
  EXPECT_FALSE(tracker_.Report(At(5)).done);
}

TEST_F(ConvergenceTrackerTest, ThirdPartyDeathReportDoesNotRenewTheLease) {
  AdvanceRunning(std::chrono::seconds(5));
  Ack("b", "haro", 1, 1, MEMBER_DEAD);
  EXPECT_EQ(clock_.Now() - tracker_.proxies().at("b").last_report,
            Duration(std::chrono::seconds(5)));
}

TEST_F(ConvergenceTrackerTest, ConvergenceTimeExcludesTheLeadersWait) {
  tracker_.OnLeading();
  tracker_.OnConfirmed(At(6), configuration_, 0);
  clock_.Advance(std::chrono::milliseconds(30));
  AckAll(6);
  EXPECT_TRUE(tracker_.TakeDone(0).empty());
  AdvanceRunning(settings_.proxy_lease);
  AckAll(6);
  EXPECT_FALSE(tracker_.TakeDone(0).empty());
  EXPECT_EQ(tracker_.Report(At(6)).convergence_time,
            Duration(std::chrono::milliseconds(30)));
}

TEST_F(ConvergenceTrackerTest, PausedProcessWaitsForReportsOfAllBeforeItIsDone) {
  clock_.Advance(settings_.proxy_lease + std::chrono::seconds(2));
  Ack("a", "haro", 5);
  Ack("c", "logrono", 5);
  EXPECT_TRUE(tracker_.TakeDone(0).empty()) << "b did not acknowledge";
  Ack("b", "haro", 1);
  AdvanceRunning(settings_.proxy_lease);
  AckAll(5);
  EXPECT_EQ(tracker_.TakeDone(0).size(), 1U);
}

TEST_F(ConvergenceTrackerTest, NewLeaderWaitsOneLease) {
  clock_.Advance(std::chrono::milliseconds(1));
  tracker_.OnLeading();
  AckAll(5);
  EXPECT_FALSE(tracker_.Report(At(5)).done);
  AdvanceRunning(settings_.proxy_lease);
  AckAll(5);
  EXPECT_EQ(tracker_.TakeDone(0).size(), 1U);
  EXPECT_TRUE(tracker_.Report(At(5)).done);
  EXPECT_FALSE(tracker_.Report(At(5)).convergence_time.has_value());
}

TEST_F(ConvergenceTrackerTest, DataCentreWithoutAnyReportKeepsItPending) {
  configuration_.add_data_centres("cenicero");
  tracker_.OnConfirmed(At(6), configuration_, 0);
  AckAll(6);
  const ConvergenceReport report = tracker_.Report(At(6));
  EXPECT_FALSE(report.done);
  ASSERT_EQ(report.cut_off.size(), 1U);
  EXPECT_EQ(report.cut_off[0].name, "cenicero");
}

}  // namespace
}  // namespace quetzal
