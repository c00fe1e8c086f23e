// Every fault during every step, generated from the two tables of sim_faults.h. After the
// fault, the fleet must converge and apply a further change.
#include <tuple>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "simulation/sim_faults.h"

namespace quetzal::simulation {
namespace {

class FaultMatrix : public testing::TestWithParam<std::tuple<std::size_t, std::size_t>> {
};

/// Runs one cell: the fault begins at `moment`, counted from the start of the step.
void RunCell(const FaultKind& fault, const StepKind& step, Duration moment,
             std::uint64_t seed) {
  SimFleet fleet(seed,
                 {{{"haro", 9}, {"logrono", 3}}, {"haro", "logrono", "cenicero"}, 8});
  fleet.StartAll();
  fleet.world.Run(milliseconds(10));
  for (auto& node : fleet.nodes) fleet.Announce(&node, SERVER_UP);
  ASSERT_EQ(fleet.Settle(seconds(15)), "") << "before the fault";
  step.prepare(&fleet);
  ASSERT_EQ(fleet.Settle(seconds(15)), "") << "before the fault";
  if (moment < Duration{0}) {
    fault.begin(&fleet);
    fleet.world.Run(-moment);
    if (AffectedNode(&fleet)->distribution == nullptr && step.name != "Join") {
      fleet.StartNode(AffectedNode(&fleet));
    }
    step.run(&fleet);
  } else {
    step.run(&fleet);
    fleet.world.Run(moment);
    fault.begin(&fleet);
  }
  fleet.world.Run(seconds(2));
  fleet.Confirm();
  fleet.world.Run(seconds(6));
  fault.end(&fleet);
  EXPECT_EQ(fleet.Settle(seconds(40)), "") << "after the fault";
  EXPECT_TRUE(fleet.Confirm());
  EXPECT_EQ(fleet.Settle(seconds(10)), "") << "a change after the fault";
  EXPECT_THAT(fleet.violations, testing::IsEmpty());
}

TEST_P(FaultMatrix, ConvergesAfterTheFault) {
  const FaultKind fault = AllFaults()[std::get<0>(GetParam())];
  const StepKind step = AllSteps()[std::get<1>(GetParam())];
  const std::vector<Duration> moments = {milliseconds(-300), step.moment,
                                         step.moment + milliseconds(60)};
  for (std::size_t n = 0; n < moments.size(); ++n) {
    const std::uint64_t seed = 1 + n;
    SCOPED_TRACE("moment " + std::to_string(moments[n].count()) + " ns, seed " +
                 std::to_string(seed));
    RunCell(fault, step, moments[n], seed);
  }
}

std::string CellName(const testing::TestParamInfo<FaultMatrix::ParamType>& info) {
  return AllFaults()[std::get<0>(info.param)].name + "During" +
         AllSteps()[std::get<1>(info.param)].name;
}

INSTANTIATE_TEST_SUITE_P(
    Cells, FaultMatrix,
    testing::Combine(testing::Range<std::size_t>(0, AllFaults().size()),
                     testing::Range<std::size_t>(0, AllSteps().size())),
    CellName);

}  // namespace
}  // namespace quetzal::simulation
