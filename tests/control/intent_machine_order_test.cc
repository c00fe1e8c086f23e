// Orders in the replicated state (intent_machine_order.cc).
#include <gtest/gtest.h>

#include "base/delta_compression.h"
#include "base/result_code.h"
#include "control/intent_machine.h"
#include "control/order_content.h"

namespace quetzal {
namespace {

/// Configurations of the same length that differ in the services of their routes.
ReplacedContent ContentOf(std::uint64_t number) {
  ReplacedContent content;
  Configuration* configuration = content.mutable_configuration();
  for (std::uint64_t n = 0; n < 300; ++n) {
    const std::string service = "s" + std::to_string(10 + (n * number) % 90);
    content.mutable_document()->append("route " + std::to_string(n) + " to " + service);
    if (n >= 90) continue;
    configuration->add_services()->set_name("s" + std::to_string(10 + n));
  }
  return content;
}

ReplaceConfiguration OrderOf(std::uint64_t number, std::uint64_t base) {
  const ReplacedContent content = ContentOf(number);
  ReplaceConfiguration order;
  order.set_number(number);
  order.set_base(base);
  order.set_digest(DigestOfDocument(content.document()));
  order.set_content(content.SerializeAsString());
  return order;
}

std::string EntryOf(const ReplaceConfiguration& packed) {
  ControlEntry entry;
  *entry.mutable_replace() = packed;
  return entry.SerializeAsString();
}

class IntentMachineOrderTest : public testing::Test {
 protected:
  IntentMachineOrderTest() {
    EXPECT_EQ(Apply(&machine_, machine_.Pack(OrderOf(4, 0))), ResultCode::kOk);
  }

  ResultCode Apply(IntentMachine* machine, const ReplaceConfiguration& packed) {
    ControlResult result;
    result.ParseFromString(machine->Apply({1, ++index_}, EntryOf(packed)));
    return ResultCodeFromInt(result.code());
  }

  IntentMachine machine_{nullptr};

 private:
  std::uint64_t index_ = 0;
};

// Guards against an acknowledged order that is replaced by a mixture with an earlier one:
// a leader that has only its snapshot compressed it against the content of that snapshot.
TEST_F(IntentMachineOrderTest, AnOrderPackedByAnInstanceThatIsBehindIsAppliedAsSent) {
  IntentMachine behind(nullptr);
  behind.RestoreSnapshot({1, 1}, machine_.TakeSnapshot());
  const ReplaceConfiguration missed = machine_.Pack(OrderOf(6, 4));
  EXPECT_EQ(Apply(&machine_, missed), ResultCode::kOk);

  const ReplaceConfiguration packed = behind.Pack(OrderOf(8, 6));
  EXPECT_EQ(Apply(&behind, missed), ResultCode::kOk);
  EXPECT_EQ(Apply(&machine_, packed), ResultCode::kOk);
  EXPECT_EQ(Apply(&behind, packed), ResultCode::kOk);
  EXPECT_EQ(machine_.document(), ContentOf(8).document());
  EXPECT_EQ(behind.document(), ContentOf(8).document());
}

// Guards against content that nobody compares with the digest of its order.
TEST_F(IntentMachineOrderTest, AContentThatIsNotThatOfTheOrderIsNotApplied) {
  ReplaceConfiguration order = OrderOf(6, 4);
  ReplaceConfiguration packed = order;
  packed.clear_content();
  packed.set_packed_content(
      CompressAgainst(ContentOf(5).SerializeAsString(), order.content()));
  EXPECT_EQ(Apply(&machine_, packed), ResultCode::kMessageMalformed);
  packed.set_packed_content(CompressAgainst({}, ContentOf(5).SerializeAsString()));
  EXPECT_EQ(Apply(&machine_, packed), ResultCode::kMessageMalformed);
  EXPECT_EQ(machine_.document(), ContentOf(4).document());
  EXPECT_EQ(Apply(&machine_, machine_.Pack(order)), ResultCode::kOk) << "sent again";
}

TEST_F(IntentMachineOrderTest, AnOrderOnAnEarlierBaseIsLoggedWithoutItsContent) {
  const ReplaceConfiguration accepted = OrderOf(6, 4);
  EXPECT_EQ(Apply(&machine_, machine_.Pack(accepted)), ResultCode::kOk);
  EXPECT_EQ(machine_.Pack(accepted).packed_content(), "");
  EXPECT_EQ(Apply(&machine_, machine_.Pack(accepted)), ResultCode::kOk) << "sent again";
  EXPECT_EQ(Apply(&machine_, machine_.Pack(OrderOf(8, 4))), ResultCode::kPlanOutdated);
  EXPECT_EQ(machine_.document(), ContentOf(6).document());
}

TEST_F(IntentMachineOrderTest, SuccessiveOrdersTakeFewBytesOfTheLog) {
  ReplacedContent content = ContentOf(4);
  content.mutable_document()->append("one more route");
  ReplaceConfiguration order = OrderOf(6, 4);
  order.set_content(content.SerializeAsString());
  EXPECT_LT(machine_.Pack(order).packed_content().size(), 100U);
}

}  // namespace
}  // namespace quetzal
