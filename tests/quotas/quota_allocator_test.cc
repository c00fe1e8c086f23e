#include "quotas/quota_allocator.h"

#include <gtest/gtest.h>

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One coordinator with two nodes of its data centre "a", beside two nodes of "b".
class QuotaAllocatorTest : public testing::Test {
 protected:
  QuotaAllocatorTest() {
    allocator_.SetLimits({{"t", 100, 100}});
    allocator_.SetNodes({{"a", 2}, {"b", 2}});
    clock_.Advance(seconds(10));
  }

  void Report(const std::string& node, std::uint64_t asked, std::uint64_t admitted,
              std::uint64_t incarnation = 1) {
    UsageReport report;
    TeamUsage* usage = report.add_usage();
    usage->set_team("t");
    usage->set_asked(asked);
    usage->set_admitted(admitted);
    allocator_.OnReport(node, incarnation, report);
  }

  /// Demand of the coordinator of "b", as if both its nodes reported to it.
  void RemoteDemand(float per_second, float admitted, std::uint32_t nodes = 2) {
    DemandReport report;
    report.set_data_centre("b");
    report.set_nodes(nodes);
    TeamDemand* demand = report.add_demands();
    demand->set_team("t");
    demand->set_asked_per_second(per_second);
    demand->set_admitted_in_window(admitted);
    allocator_.OnDemand("b-0", report);
  }

  /// Four reports per second of both nodes and of the other coordinator.
  void Run(Duration span, int per_period, float remote, bool with_remote = true) {
    for (Duration done{}; done < span; done += milliseconds(250)) {
      clock_.Advance(milliseconds(250));
      count_ += per_period;
      Report("a-0", count_, count_);
      Report("a-1", count_, count_);
      if (with_remote) RemoteDemand(remote, remote * 5);
      allocator_.Allocate();
      allocator_.MarkGranted();
    }
  }

  double ShareOf(const std::string& node) const {
    const auto shares = allocator_.SharesFor(node);
    return shares.empty() ? -1 : shares[0].per_second();
  }
  double AdmittedInWindow() {
    for (int n = 0; n < 4; ++n) {
      for (const TeamDemand& demand : allocator_.TakeDemands(false)) {
        return demand.admitted_in_window();
      }
    }
    return 0;
  }

  ManualClock clock_;
  QuotaAllocator allocator_{"a", &clock_};
  std::uint64_t count_ = 0;
};

TEST_F(QuotaAllocatorTest, TeamBelowItsRateIsNotLimited) {
  Run(seconds(8), 8, 20);  // 64 per second here, 20 there.
  EXPECT_TRUE(allocator_.ready());
  EXPECT_TRUE(allocator_.SharesFor("a-0").empty());
}

TEST_F(QuotaAllocatorTest, TeamAboveItsRateGetsItsPartOfTheDemand) {
  Run(seconds(8), 25, 100);  // 200 per second here, 100 there.
  EXPECT_GE(ShareOf("a-0"), 0);
  EXPECT_LE(ShareOf("a-0") + ShareOf("a-1"), 125 * 2.0 / 3 + 1);
}

// An unreachable data centre goes on with its fixed share.
TEST_F(QuotaAllocatorTest, FixedShareOfAnUnreachableDataCentreIsReserved) {
  Run(seconds(8), 9, 20);
  EXPECT_TRUE(allocator_.SharesFor("a-0").empty());
  // 72 per second are below the rate, but above half of it.
  Run(seconds(7), 9, 0, false);
  ASSERT_FALSE(allocator_.SharesFor("a-0").empty());
  EXPECT_LE(ShareOf("a-0") + ShareOf("a-1"), 1.25 * 50);
}

TEST_F(QuotaAllocatorTest, WhatAnUnreachableDataCentreAdmittedStaysInTheWindow) {
  Run(seconds(8), 1, 100);  // Nearly all of it there: 500 of 600 in the window.
  for (int n = 0; n < 4; ++n) {
    clock_.Advance(milliseconds(250));
    count_ += 50;
    Report("a-0", count_, count_);
    Report("a-1", count_, count_);
    allocator_.Allocate();
  }
  EXPECT_NEAR(ShareOf("a-0"), 0, 0.01);
}

// The counts of a restarted node begin at zero; what its former process admitted counts.
TEST_F(QuotaAllocatorTest, SumsSurviveTheRestartOfANode) {
  Run(seconds(8), 5, 0);
  const double before = AdmittedInWindow();
  clock_.Advance(milliseconds(50));
  Report("a-0", 3, 3, 2);
  allocator_.Allocate();
  EXPECT_NEAR(AdmittedInWindow(), before + 3, 0.01);
}

TEST_F(QuotaAllocatorTest, ReportsOfAnEarlierIncarnationAreIgnored) {
  Run(seconds(8), 5, 0);
  Report("a-0", 3, 3, 2);
  allocator_.Allocate();
  const double before = AdmittedInWindow();
  Report("a-0", 100000, 100000, 1);
  allocator_.Allocate();
  EXPECT_NEAR(AdmittedInWindow(), before, 0.01);
}

// Counts that a node sends first are those of its last window, of which most will expire.
TEST_F(QuotaAllocatorTest, FirstReportIsSpreadOverTheWindow) {
  Report("a-0", 100, 100);
  allocator_.Allocate();
  EXPECT_NEAR(AdmittedInWindow(), 100, 0.01);
  clock_.Advance(milliseconds(2500));
  Report("a-0", 100, 100);
  allocator_.Allocate();
  EXPECT_NEAR(AdmittedInWindow(), 52, 1);
}

// Two coordinators of a data centre must not both divide its whole part.
TEST_F(QuotaAllocatorTest, NodesThatReportElsewhereAreReserved) {
  for (int n = 0; n < 32; ++n) {
    clock_.Advance(milliseconds(250));
    count_ += 25;
    Report("a-0", count_, count_);
    RemoteDemand(0, 0);
    allocator_.Allocate();
  }
  // A quarter of the window is reserved for a-1, so the rate is below the whole one.
  EXPECT_LE(ShareOf("a-0"), 0.75 * 125 + 1);
}

TEST_F(QuotaAllocatorTest, GrantsWaitForTheFirstReports) {
  Report("a-0", 1, 1);
  allocator_.Allocate();
  EXPECT_TRUE(allocator_.active());
  EXPECT_FALSE(allocator_.ready());
  clock_.Advance(milliseconds(600));
  Report("a-0", 1, 1);
  allocator_.Allocate();
  EXPECT_TRUE(allocator_.ready());
}

TEST_F(QuotaAllocatorTest, RemovedQuotaLimitsNothing) {
  Run(seconds(8), 50, 100);
  EXPECT_FALSE(allocator_.SharesFor("a-0").empty());
  allocator_.SetLimits({});
  allocator_.Allocate();
  EXPECT_TRUE(allocator_.SharesFor("a-0").empty());
}

TEST_F(QuotaAllocatorTest, SuddenDemandIsUrgent) {
  Run(seconds(8), 2, 0);
  allocator_.TakeDemands(false);
  clock_.Advance(milliseconds(100));
  Report("a-0", count_ + 100, count_ + 100);
  allocator_.Allocate();
  EXPECT_TRUE(allocator_.demands_urgent());
  EXPECT_EQ(allocator_.TakeDemands(true).size(), 1U);
  EXPECT_FALSE(allocator_.demands_urgent());
}

}  // namespace
}  // namespace quetzal
