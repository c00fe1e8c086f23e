#include "control/intent_machine.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>

#include "base/result_code.h"

namespace quetzal {
namespace {

class IntentMachineTest : public testing::Test {
 protected:
  IntentMachineTest() : machine_(nullptr, Retention()) {}

  static IntentRetention Retention() {
    IntentRetention retention;
    retention.closed_intents = 3;
    retention.open_plans = 4;
    return retention;
  }

  static ControlEntry DeclareEntry(const std::string& id, const std::string& service) {
    ControlEntry entry;
    entry.mutable_declare()->set_id(id);
    entry.mutable_declare()->mutable_content()->add_set_services()->set_name(service);
    return entry;
  }

  ControlResult Apply(const ControlEntry& entry) { return Apply(&machine_, entry); }

  ControlResult Apply(IntentMachine* machine, const ControlEntry& entry) {
    ControlResult result;
    result.ParseFromString(machine->Apply({1, ++index_}, entry.SerializeAsString()));
    return result;
  }

  ControlResult Declare(const std::string& id, const std::string& service = "taller") {
    return Apply(DeclareEntry(id, service));
  }

  ControlResult Confirm(const std::string& id) {
    ControlEntry entry;
    entry.mutable_confirm()->set_id(id);
    return Apply(entry);
  }

  ControlResult Cancel(const std::string& id) {
    ControlEntry entry;
    entry.mutable_cancel()->set_id(id);
    return Apply(entry);
  }

  static ResultCode CodeOf(const ControlResult& result) {
    return ResultCodeFromInt(result.code());
  }

  std::uint64_t index_ = 0;
  IntentMachine machine_;
};

TEST_F(IntentMachineTest, ExpiredIdNeverBecomesANewIntent) {
  for (int n = 1; n <= 5; ++n) {
    const std::string id = std::to_string(n) + "-x";
    Declare(id, "service-" + std::to_string(n));
    EXPECT_EQ(CodeOf(Confirm(id)), ResultCode::kOk);
  }
  const Version before = machine_.version();
  EXPECT_EQ(CodeOf(Declare("1-x", "service-1")), ResultCode::kIntentIdExpired);
  EXPECT_EQ(CodeOf(Declare("2-never-seen", "other")), ResultCode::kIntentIdExpired);
  EXPECT_EQ(CodeOf(Confirm("2-x")), ResultCode::kIntentIdExpired);
  EXPECT_EQ(CodeOf(Declare("3-x", "service-3")), ResultCode::kOk);
  EXPECT_EQ(machine_.version().index(), before.index());

  IntentMachine restored(nullptr, Retention());
  restored.RestoreSnapshot({1, index_}, machine_.TakeSnapshot());
  EXPECT_EQ(CodeOf(Apply(&restored, DeclareEntry("1-x", "service-1"))),
            ResultCode::kIntentIdExpired);
  EXPECT_EQ(CodeOf(Apply(&restored, DeclareEntry("3-x", "service-3"))), ResultCode::kOk);
  EXPECT_EQ(restored.version().index(), before.index());
}

TEST_F(IntentMachineTest, NumbersAboveTheNextOneAreRefused) {
  EXPECT_EQ(CodeOf(Declare("2-x")), ResultCode::kIntentMalformed);
  EXPECT_EQ(CodeOf(Declare("1-x")), ResultCode::kOk);
  EXPECT_EQ(CodeOf(Declare("2-x")), ResultCode::kOk);
}

TEST_F(IntentMachineTest, OneOfTwoConcurrentIntentsIsConfirmed) {
  for (int round = 0; round < 3; ++round) {
    const std::string n = std::to_string(machine_.next_number());
    Declare(n + "-a", "a" + n);
    Declare(n + "-b", "b" + n);
    EXPECT_EQ(CodeOf(Confirm(n + "-a")), ResultCode::kOk);
    const ControlResult refused = Confirm(n + "-b");
    EXPECT_EQ(CodeOf(refused), ResultCode::kPlanOutdated);
    EXPECT_NE(refused.message().find("intent " + n + "-a was confirmed"),
              std::string::npos);
    EXPECT_EQ(CodeOf(Confirm(n + "-b")), ResultCode::kPlanOutdated);
  }
}

TEST_F(IntentMachineTest, TheSystemsOwnChangeLeavesPlansValid) {
  Declare("1-x");
  ControlEntry entry;
  *entry.mutable_system()->mutable_base() = machine_.version();
  KeyGroup* group = entry.mutable_system()->add_key_groups();
  group->set_data_centre("haro");
  group->add_members()->set_instance("haro-1");
  EXPECT_EQ(CodeOf(Apply(entry)), ResultCode::kConfigurationInvalid);
  group->mutable_members(0)->set_stream_address("127.0.0.1:1");
  EXPECT_EQ(CodeOf(Apply(entry)), ResultCode::kOk);
  EXPECT_EQ(CodeOf(Apply(entry)), ResultCode::kPlanOutdated);
  EXPECT_EQ(CodeOf(Confirm("1-x")), ResultCode::kOk);
  EXPECT_EQ(machine_.configuration()->key_groups_size(), 1);
  EXPECT_EQ(machine_.History(1)[0].intent(), "1-x");
  EXPECT_EQ(machine_.History(2)[1].intent(), "");
}

TEST_F(IntentMachineTest, CancelAndConfirmExcludeEachOther) {
  Declare("1-x");
  EXPECT_EQ(CodeOf(Cancel("1-x")), ResultCode::kOk);
  EXPECT_EQ(CodeOf(Cancel("1-x")), ResultCode::kOk);
  EXPECT_EQ(CodeOf(Confirm("1-x")), ResultCode::kPlanCancelled);
  Declare("2-x");
  EXPECT_EQ(CodeOf(Confirm("2-x")), ResultCode::kOk);
  EXPECT_EQ(CodeOf(Cancel("2-x")), ResultCode::kIntentConfirmed);
  EXPECT_EQ(machine_.configuration()->services_size(), 1);
}

TEST_F(IntentMachineTest, TooManyOpenPlansCloseTheOldest) {
  for (int n = 1; n <= 5; ++n) Declare(std::to_string(n) + "-x");
  EXPECT_EQ(machine_.OpenIntents().size(), 4U);
  EXPECT_EQ(CodeOf(Confirm("1-x")), ResultCode::kNotRun);
}

TEST_F(IntentMachineTest, TextOfAPlanIsBounded) {
  ControlEntry entry = DeclareEntry("1-x", "taller");
  for (int n = 0; n < 250; ++n) {
    entry.mutable_declare()->mutable_content()->add_set_services()->set_name(
        "service-" + std::to_string(n));
    entry.mutable_declare()->add_warnings(std::string(100, 'w'));
  }
  const IntentRecord record = Apply(entry).record();
  EXPECT_EQ(record.warnings_size(), 82);
  EXPECT_EQ(record.warnings(81), "And 169 more.");
  std::size_t bytes = 0;
  for (const std::string& step : record.steps()) bytes += step.size();
  EXPECT_LE(bytes, IntentRetention().sentence_bytes + 20);
  EXPECT_EQ(CodeOf(Confirm("1-x")), ResultCode::kOk);
  EXPECT_EQ(machine_.configuration()->services_size(), 251);
}

TEST_F(IntentMachineTest, ArbitraryBytesAreAnsweredAndChangeNothing) {
  EXPECT_TRUE(rc::check("arbitrary log entry", [this](const std::string& bytes) {
    ControlResult result;
    RC_ASSERT(result.ParseFromString(machine_.Apply({1, ++index_}, bytes)));
    RC_ASSERT(machine_.version().index() == 0U);
  }));
}

}  // namespace
}  // namespace quetzal
