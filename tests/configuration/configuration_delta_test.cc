#include "configuration/configuration_delta.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>
#include <string>

#include "base/result_code.h"
#include "configuration/configuration_check.h"

namespace quetzal {
namespace {

std::set<int> SmallSet() {
  const unsigned mask = *rc::gen::inRange(0U, 256U);
  std::set<int> numbers;
  for (int n = 0; n < 8; ++n) {
    if ((mask >> n) & 1U) numbers.insert(n);
  }
  return numbers;
}

Configuration ArbitraryConfiguration() {
  Configuration configuration;
  const std::set<int> services = SmallSet();
  for (const int n : services) {
    Service* service = configuration.add_services();
    service->set_name("service-" + std::to_string(n));
    service->set_slots(*rc::gen::inRange(0, 3));
  }
  if (!services.empty()) {
    for (const int n : SmallSet()) {
      Route* route = configuration.add_routes();
      route->set_name("route-" + std::to_string(n));
      route->set_path_prefix("/" + std::to_string(n));
      route->set_timeout_ms(*rc::gen::inRange(1, 3));
      Target* target = route->add_targets();
      target->set_service("service-" + std::to_string(*rc::gen::elementOf(services)));
      target->set_weight(1);
    }
  }
  for (const int n : SmallSet()) configuration.add_leaving("node-" + std::to_string(n));
  for (const int n : SmallSet())
    configuration.add_data_centres("dc-" + std::to_string(n));
  if (*rc::gen::arbitrary<bool>()) configuration.mutable_policy()->set_drain_limit_ms(7);
  if (*rc::gen::arbitrary<bool>()) {
    KeyGroup* group = configuration.add_key_groups();
    group->set_data_centre("haro");
    KeyHolder* holder = group->add_members();
    holder->set_instance("haro-1");
    holder->set_stream_address("127.0.0.1:" + std::to_string(*rc::gen::inRange(1, 4)));
  }
  return configuration;
}

TEST(ConfigurationDeltaTest, ApplyingTheDeltaGivesTheTargetConfiguration) {
  EXPECT_TRUE(rc::check("apply(from, make(from, to)) == to", [] {
    const Configuration from = ArbitraryConfiguration();
    const Configuration to = ArbitraryConfiguration();
    const auto applied = ApplyDelta(from, MakeDelta(from, to));
    const Configuration& result = *applied;
    RC_ASSERT(SameConfiguration(result, to));
    RC_ASSERT(result.services_size() == to.services_size());
    RC_ASSERT(result.routes_size() == to.routes_size());
    RC_ASSERT(IsEmptyDelta(MakeDelta(to, to)));
  }));
}

TEST(ConfigurationDeltaTest, RefusesADeltaThatDoesNotFitTheBase) {
  ConfigurationDelta removal;
  removal.add_removed_services("taller");
  EXPECT_THROW(ApplyDelta(Configuration(), removal), Error);
  ConfigurationDelta entering;
  entering.add_removed_leaving("taller-1");
  EXPECT_THROW(ApplyDelta(Configuration(), entering), Error);
}

TEST(ConfigurationDeltaTest, RefusesAResultWithADanglingTarget) {
  Configuration base;
  base.add_services()->set_name("taller");
  Route* route = base.add_routes();
  route->set_name("r");
  route->set_path_prefix("/");
  route->set_timeout_ms(1);
  route->add_targets()->set_service("taller");
  route->mutable_targets(0)->set_weight(1);
  ConfigurationDelta removal;
  removal.add_removed_services("taller");
  try {
    ApplyDelta(base, removal);
    ADD_FAILURE() << "accepted";
  } catch (const Error& error) {
    EXPECT_EQ(error.code(), ResultCode::kConfigurationInvalid);
  }
}

TEST(ConfigurationDeltaTest, AnyBytesGiveAnErrorOrAValidResult) {
  EXPECT_TRUE(rc::check("arbitrary delta bytes", [](const std::string& bytes) {
    ConfigurationDelta delta;
    if (!delta.ParseFromString(bytes)) return;
    try {
      CheckConfiguration(*ApplyDelta(ArbitraryConfiguration(), delta));
    } catch (const Error&) {
    }
  }));
}

}  // namespace
}  // namespace quetzal
