#include "configuration/intent_file.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>

#include "base/result_code.h"
#include "configuration/configuration_check.h"
#include "configuration/plan.h"
#include "simulation/source_file.h"

namespace quetzal {
namespace {

struct BadFile {
  const char* text;
  const char* message;
};

TEST(IntentFileTest, EveryErrorNamesPlaceFoundValueAndAllowedValues) {
  const BadFile files[] = {
      {"{\n\n!",
       "f.json: line 3: found text that is not JSON; allowed is one JSON object"},
      {"[]", "f.json: /: found a list of 0; allowed is an object"},
      {"{}", "f.json: /version: found nothing; this field is required"},
      {R"({"version": 2})",
       "f.json: /version: found 2; allowed is a whole number from 1 "
       "to 1"},
      {R"({"version": 1, "version": 1})",
       "f.json: found the field \"version\" twice in one object; allowed is once"},
      {R"({"version": 1, "a/b": 1})",
       "f.json: /a~1b: found an unknown field; allowed are version, description, "
       "data_centres, services, routes, teams, policy, leave, enter, remove, "
       "add_control_instance, remove_control_instance, rollout"},
      {R"({"version": 1, "add_control_instance": {"name": "d", "address": "host:1"}})",
       "f.json: /add_control_instance/address: found \"host:1\"; allowed is ip:port"},
      {R"({"version": 1, "leave": ["a"], "rollout": {"service": "s"}})",
       "f.json: /rollout: found an object; allowed is no other change in the same "
       "intent"},
      {R"({"version": 1, "rollout": {"service": "s", "version": "", "duration_ms": 5}})",
       "f.json: /rollout/version: found \"\"; allowed is a text that is not empty"},
      {R"({"version": 1, "rollout": {"service": "s", "version": "v2"}})",
       "f.json: /rollout/duration_ms: found nothing; this field is required"},
      {R"({"version": 1, "rollout": {"service": "s", "roll_back": true,
          "version": "v2"}})",
       "f.json: /rollout/roll_back: found true; allowed is false where a version or a "
       "duration is given"},
      {R"({"version": 1, "leave": ["A b"]})",
       "f.json: /leave/0: found \"A b\"; allowed is a name of 1 to 63 characters of a-z, "
       "0-9, '-', '_' and '.', the first a letter or digit"},
      {R"({"version": 1, "leave": ["a"], "enter": ["a"]})",
       "f.json: /enter: found a list of 1; allowed is no name that is also listed "
       "in /leave: a"},
      {R"({"version": 1, "services": [{"name": "a"}, {"name": "a"}]})",
       "f.json: /services/1/name: found \"a\"; allowed is each name once"},
      {R"({"version": 1, "services": [{"name": "a", "limits": {"slots": -1}}]})",
       "f.json: /services/0/limits/slots: found -1; allowed is a whole number from 0 to "
       "10000"},
      {R"({"version": 1, "policy": {"drain_limit_ms": 1.5}})",
       "f.json: /policy/drain_limit_ms: found 1.5; allowed is a whole number from 0 to "
       "600000"},
      {R"({"version": 1, "description": [[[[[[[[1]]]]]]]]})",
       "f.json: found a nesting deeper than 8; allowed are 8 levels"},
  };
  for (const BadFile& file : files) {
    SCOPED_TRACE(file.text);
    try {
      ParseIntent("f.json", file.text);
      ADD_FAILURE() << "accepted";
    } catch (const Error& error) {
      EXPECT_STREQ(error.what(), file.message);
    }
  }
}

TEST(IntentFileTest, RefusesAFileThatIsTooLarge) {
  try {
    ParseIntent("f.json", std::string(kMaxIntentBytes + 1, ' '));
    ADD_FAILURE() << "accepted";
  } catch (const Error& error) {
    EXPECT_EQ(error.code(), ResultCode::kIntentTooLarge);
  }
}

TEST(IntentFileTest, ReadsTheExampleMeshes) {
  for (const char* name : {"arrieta.json", "lensa.json"}) {
    const IntentContent content =
        ParseIntent(name, ReadSourceFile(std::string("meshes/") + name));
    const Plan plan = MakePlan(Configuration(), content);
    EXPECT_EQ(plan.result.data_centres_size(), 3);
    EXPECT_EQ(plan.result.services_size(), 2);
    EXPECT_TRUE(MakePlan(plan.result, content).changes.empty());
  }
}

TEST(IntentFileTest, AnyBytesGiveAnErrorOrAnIntent) {
  EXPECT_TRUE(rc::check("arbitrary text", [](const std::string& text) {
    try {
      ParseIntent("f", text);
    } catch (const Error& error) {
      RC_ASSERT(error.code() == ResultCode::kIntentMalformed ||
                error.code() == ResultCode::kIntentTooLarge);
    }
  }));
}

TEST(IntentFileTest, DamagedFilesGiveAnErrorOrAValidPlan) {
  const std::string mesh = ReadSourceFile("meshes/arrieta.json");
  EXPECT_TRUE(rc::check("damaged mesh", [&] {
    std::string text = mesh;
    const int n = *rc::gen::inRange(1, 4);
    for (int i = 0; i < n; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      text[at] = *rc::gen::arbitrary<char>();
    }
    text.resize(*rc::gen::inRange<std::size_t>(text.size() / 2, text.size() + 1));
    try {
      CheckConfiguration(MakePlan(Configuration(), ParseIntent("f", text)).result);
    } catch (const Error& error) {
      RC_ASSERT(error.code() != ResultCode::kInternalError);
    }
  }));
}

TEST(PlanTest, NamesTheRouteThatStillUsesAService) {
  Configuration base =
      MakePlan(Configuration(), ParseIntent("m", ReadSourceFile("meshes/arrieta.json")))
          .result;
  IntentContent removal;
  removal.add_remove_services("taller");
  try {
    MakePlan(base, removal);
    ADD_FAILURE() << "accepted";
  } catch (const Error& error) {
    EXPECT_EQ(error.code(), ResultCode::kPlanRefused);
    EXPECT_STREQ(
        error.what(),
        "The service taller cannot be removed: the route oak-stock still uses it.");
  }
  removal.add_remove_routes("oak-stock");
  removal.add_remove_routes("toasting-schedules");
  EXPECT_EQ(MakePlan(base, removal).result.services_size(), 1);
}

}  // namespace
}  // namespace quetzal
