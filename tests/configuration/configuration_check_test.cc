#include "configuration/configuration_check.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "base/result_code.h"
#include "configuration/configuration_limits.h"

namespace quetzal {
namespace {

Configuration ValidConfiguration() {
  Configuration configuration;
  for (const char* name : {"bodega-desk", "taller"}) {
    configuration.add_services()->set_name(name);
  }
  Route* route = configuration.add_routes();
  route->set_name("reports");
  route->set_path_prefix("/reports/");
  route->add_methods("GET");
  route->set_timeout_ms(1000);
  Target* target = route->add_targets();
  target->set_service("bodega-desk");
  target->set_weight(1);
  KeyGroup* group = configuration.add_key_groups();
  group->set_data_centre("haro");
  KeyHolder* holder = group->add_members();
  holder->set_instance("haro-1");
  holder->set_stream_address("127.0.0.1:1");
  return configuration;
}

struct Fault {
  std::string name;
  std::function<void(Configuration*)> apply;
  std::string expected;
};

std::vector<Fault> Faults() {
  return {
      {"dangling target",
       [](Configuration* c) {
         c->mutable_routes(0)->mutable_targets(0)->set_service("cooper");
       },
       "route 'reports': target 'cooper' is not a service"},
      {"no weight",
       [](Configuration* c) { c->mutable_routes(0)->mutable_targets(0)->set_weight(0); },
       "no target has a weight"},
      {"unsorted services", [](Configuration* c) { c->add_services()->set_name("a"); },
       "out of order"},
      {"double service", [](Configuration* c) { c->add_services()->set_name("taller"); },
       "listed twice"},
      {"illegal name", [](Configuration* c) { c->add_services()->set_name("Taller!"); },
       "not a legal name"},
      {"relative path",
       [](Configuration* c) { c->mutable_routes(0)->set_path_prefix("reports"); },
       "path_prefix"},
      {"no timeout", [](Configuration* c) { c->mutable_routes(0)->set_timeout_ms(0); },
       "timeout_ms is 0; allowed is 1 to 600000"},
      {"ambiguous routes",
       [](Configuration* c) {
         *c->add_routes() = c->routes(0);
         c->mutable_routes(1)->set_name("reports-b");
       },
       "match the same requests"},
      {"retry budget",
       [](Configuration* c) { c->mutable_policy()->set_retry_budget_percent(101); },
       "retry_budget_percent is 101"},
      {"key member",
       [](Configuration* c) {
         c->mutable_key_groups(0)->mutable_members(0)->set_stream_address("haro-1");
       },
       "'haro-1' is not ip:port"},
      {"double key member",
       [](Configuration* c) {
         *c->mutable_key_groups(0)->add_members() = c->key_groups(0).members(0);
       },
       "listed twice"},
      {"empty key group",
       [](Configuration* c) { c->mutable_key_groups(0)->clear_members(); }, "no members"},
      {"leaving twice",
       [](Configuration* c) {
         c->add_leaving("taller-1");
         c->add_leaving("taller-1");
       },
       "leaving"},
  };
}

TEST(ConfigurationCheckTest, AcceptsValidAndEmptyConfigurations) {
  EXPECT_NO_THROW(CheckConfiguration(ValidConfiguration()));
  EXPECT_NO_THROW(CheckConfiguration(Configuration()));
}

TEST(ConfigurationCheckTest, NamesEveryFault) {
  for (const Fault& fault : Faults()) {
    SCOPED_TRACE(fault.name);
    Configuration configuration = ValidConfiguration();
    fault.apply(&configuration);
    try {
      CheckConfiguration(configuration);
      ADD_FAILURE() << "accepted";
    } catch (const Error& error) {
      EXPECT_EQ(error.code(), ResultCode::kConfigurationInvalid);
      EXPECT_NE(std::string(error.what()).find(fault.expected), std::string::npos)
          << error.what();
    }
  }
}

TEST(ConfigurationCheckTest, RecognisesLegalNames) {
  EXPECT_TRUE(IsLegalName("haro-1.b_2"));
  EXPECT_TRUE(IsLegalName(std::string(kMaxNameLength, 'a')));
  EXPECT_FALSE(IsLegalName(std::string(kMaxNameLength + 1, 'a')));
  EXPECT_FALSE(IsLegalName(""));
  EXPECT_FALSE(IsLegalName("-a"));
  EXPECT_FALSE(IsLegalName("a b"));
}

}  // namespace
}  // namespace quetzal
