#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "base/result_code.h"
#include "distribution/configuration_history.h"
#include "distribution/node_configuration.h"

namespace quetzal {
namespace {

using std::chrono::seconds;

Version At(std::uint64_t index) {
  Version version;
  version.set_term(1);
  version.set_index(index);
  return version;
}

std::shared_ptr<Configuration> Make(std::uint32_t slots) {
  auto configuration = std::make_shared<Configuration>();
  for (int n = 0; n < 20; ++n) {
    Service* service = configuration->add_services();
    service->set_name("service-" + std::to_string(10 + n));
    service->set_slots(slots);
  }
  configuration->mutable_services(0)->set_slots(slots);
  for (int n = 1; n < 20; ++n) configuration->mutable_services(n)->set_slots(7);
  return configuration;
}

BackendTarget TargetOf(const std::string& instance, const std::string& service) {
  BackendTarget target;
  target.instance = instance;
  target.service = service;
  target.state = SERVER_UP;
  return target;
}

class NodeConfigurationTest : public testing::Test {
 protected:
  NodeConfigurationTest() {
    for (std::uint64_t n = 1; n <= 3; ++n) {
      history_.Add(At(n), Measured(Make(static_cast<std::uint32_t>(n))));
    }
  }

  ConfigurationUpdate Snapshot(std::uint64_t index, std::uint32_t slots) {
    ConfigurationHistory history(1 << 20, 8);
    history.Add(At(index), Measured(Make(slots)));
    return history.MakeUpdate(Version(), 0);
  }

  ManualClock clock_;
  NodeConfiguration node_{&clock_, seconds(5)};
  ConfigurationHistory history_{1 << 20, 8};
};

TEST_F(NodeConfigurationTest, ServesNothingBeforeItIsConfirmedFresh) {
  EXPECT_TRUE(node_.Apply(Snapshot(1, 1)));
  EXPECT_EQ(node_.snapshot(), nullptr);
  node_.ConfirmFresh(At(1));
  ASSERT_NE(node_.snapshot(), nullptr);
  EXPECT_EQ(node_.snapshot()->version.index(), 1u);
}

TEST_F(NodeConfigurationTest, ServesNothingOlderThanTheFloor) {
  node_.Apply(Snapshot(1, 1));
  node_.ConfirmFresh(At(2));
  EXPECT_EQ(node_.snapshot(), nullptr);
  node_.Apply(Snapshot(2, 2));
  EXPECT_NE(node_.snapshot(), nullptr);
}

TEST_F(NodeConfigurationTest, RejectsAnOlderOrEqualVersion) {
  node_.ConfirmFresh(At(0));
  EXPECT_TRUE(node_.Apply(Snapshot(2, 2)));
  EXPECT_FALSE(node_.Apply(Snapshot(1, 1)));
  EXPECT_FALSE(node_.Apply(Snapshot(2, 9)));
  EXPECT_EQ(node_.snapshot()->configuration->services(0).slots(), 2u);
}

TEST_F(NodeConfigurationTest, AppliesADeltaOnlyToItsBase) {
  node_.ConfirmFresh(At(0));
  node_.Apply(Snapshot(2, 2));
  const ConfigurationUpdate fits = history_.MakeUpdate(At(2), node_.applied_digest());
  ASSERT_TRUE(fits.has_delta());
  ConfigurationUpdate other = history_.MakeUpdate(At(1), DigestOf(*Make(1)));
  ASSERT_TRUE(other.has_delta());
  try {
    node_.Apply(other);
    ADD_FAILURE() << "a delta for another base was applied";
  } catch (const Error& error) {
    EXPECT_EQ(error.code(), ResultCode::kDeltaBaseMismatch);
  }
  EXPECT_EQ(node_.snapshot()->version.index(), 2u);
  EXPECT_TRUE(node_.Apply(fits));
  EXPECT_EQ(node_.snapshot()->configuration->services(0).slots(), 3u);
}

TEST_F(NodeConfigurationTest, RejectsAnInvalidConfigurationCompletely) {
  node_.ConfirmFresh(At(0));
  node_.Apply(Snapshot(1, 1));
  auto bad = Make(2);
  Route* route = bad->add_routes();
  route->set_name("r");
  route->set_path_prefix("/");
  route->set_timeout_ms(10);
  route->add_targets()->set_service("nowhere");
  route->mutable_targets(0)->set_weight(1);
  ConfigurationUpdate update;
  *update.mutable_version() = At(2);
  *update.mutable_snapshot() = *bad;
  update.set_digest(DigestOf(*bad));
  EXPECT_THROW(node_.Apply(update), Error);
  EXPECT_EQ(node_.snapshot()->version.index(), 1u);
  EXPECT_EQ(node_.snapshot()->configuration->routes_size(), 0);
}

TEST_F(NodeConfigurationTest, APauseEndsServiceEvenBeforeTheNodeDetectsIt) {
  node_.ConfirmFresh(At(0));
  node_.Apply(Snapshot(1, 1));
  clock_.Advance(seconds(6));
  EXPECT_EQ(node_.snapshot(), nullptr);
  EXPECT_TRUE(node_.DetectPause());
  EXPECT_EQ(node_.snapshot(), nullptr);
  EXPECT_FALSE(node_.fresh());
  node_.ConfirmFresh(At(1));
  EXPECT_NE(node_.snapshot(), nullptr);
}

TEST_F(NodeConfigurationTest, KeepsTheLastTargetsOfAServiceWhoseServersDied) {
  node_.ConfirmFresh(At(0));
  node_.Apply(Snapshot(1, 1));
  node_.SetTargets({TargetOf("a", "service-10"), TargetOf("b", "service-10"),
                    TargetOf("c", "service-11"), TargetOf("d", "unknown")},
                   {});
  EXPECT_EQ(node_.snapshot()->targets.size(), 3u);
  node_.SetTargets({TargetOf("b", "service-10")}, {});
  EXPECT_EQ(node_.snapshot()->targets.size(), 2u);
  node_.SetTargets({TargetOf("b", "service-10")}, {"c"});
  EXPECT_EQ(node_.snapshot()->targets.size(), 1u);
}

}  // namespace
}  // namespace quetzal
