// Requests that can meet their objective go before those that cannot, when slots are
// short.
#include <map>

#include <gtest/gtest.h>

#include "calls/admission_control.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A server with one slot, whose requests take 100 ms, and a queue of three. The slot is
/// taken.
class AdmissionLatenessTest : public testing::Test {
 protected:
  AdmissionLatenessTest() {
    AdmissionLimits limits;
    limits.state = SERVER_UP;
    limits.slots = 1;
    limits.queue = 3;
    control_.SetLimits(limits, clock_.Now());
    Offer(100, 0, seconds(5));
    Finish();
    Offer(101, 0, seconds(5));
  }

  void Offer(std::uint64_t id, std::uint32_t priority, Duration objective,
             Duration deadline = seconds(5)) {
    AdmissionRequest request;
    request.id = id;
    request.priority = priority;
    request.objective = clock_.Now() + objective;
    request.deadline = clock_.Now() + deadline;
    request.work = "read";
    Record(control_.Offer(request, clock_.Now()));
  }
  void Finish() { Record(control_.Finish("read", milliseconds(100), clock_.Now())); }
  void Record(const AdmissionControl::Decisions& decisions) {
    for (const AdmissionDecision& decision : decisions) {
      EXPECT_EQ(decisions_.count(decision.id), 0U) << "decided twice";
      decisions_[decision.id] = decision;
    }
  }
  ResultCode CodeOf(std::uint64_t id) {
    return decisions_.count(id) == 0 ? ResultCode::kPending : decisions_[id].code;
  }

  ManualClock clock_;
  AdmissionControl control_;
  std::map<std::uint64_t, AdmissionDecision> decisions_;
};

// A burst of urgent requests that waited too long, over an order that is still in time.
TEST_F(AdmissionLatenessTest, ALateUrgentRequestGivesWayToOneInTime) {
  Offer(1, 0, milliseconds(250));
  Offer(2, 1, milliseconds(600));
  clock_.Advance(milliseconds(300));
  Finish();
  EXPECT_EQ(CodeOf(2), ResultCode::kOk);
  EXPECT_EQ(CodeOf(1), ResultCode::kShed) << "its caller can go elsewhere";
}

// A server that becomes slow: all queued requests are late. Guards against refusing all
// but the last of them, although the slots have room for them.
TEST_F(AdmissionLatenessTest, WhenAllAreLateTheyAreServedInOrder) {
  for (const int id : {1, 2}) Offer(id, id, milliseconds(310));
  clock_.Advance(milliseconds(400));
  Finish();
  EXPECT_EQ(CodeOf(1), ResultCode::kOk);
  EXPECT_EQ(CodeOf(2), ResultCode::kPending);
  Finish();
  EXPECT_EQ(CodeOf(2), ResultCode::kOk);
}

// A caller that comes back late to a busy server whose queue is empty.
TEST_F(AdmissionLatenessTest, ALateRequestIsQueuedWhenNoOtherWaits) {
  Offer(1, 0, milliseconds(-50));
  EXPECT_EQ(CodeOf(1), ResultCode::kPending);
  Finish();
  EXPECT_EQ(CodeOf(1), ResultCode::kOk);
}

TEST_F(AdmissionLatenessTest, ALateRequestIsRefusedWhileOthersWaitOrItsDeadlineIsNear) {
  Offer(1, 0, milliseconds(150), milliseconds(180));
  EXPECT_EQ(CodeOf(1), ResultCode::kShed) << "100 ms of wait and 100 ms of work";
  Offer(2, 2, seconds(5));
  Offer(3, 0, milliseconds(-50));
  EXPECT_EQ(CodeOf(3), ResultCode::kShed);
  EXPECT_EQ(CodeOf(2), ResultCode::kPending);
}

// A request in time is not refused for the wait behind late ones, which it overtakes.
TEST_F(AdmissionLatenessTest, LateRequestsAddNothingToTheWaitOfOneInTime) {
  for (const int id : {1, 2}) Offer(id, 0, milliseconds(-50));
  Offer(3, 2, milliseconds(210));
  EXPECT_EQ(CodeOf(3), ResultCode::kPending) << "it waits for the running request only";
  Finish();
  EXPECT_EQ(CodeOf(3), ResultCode::kOk);
}

// A full queue of late urgent requests and of patient ones, at the end of a burst.
TEST_F(AdmissionLatenessTest, AFullQueueShedsLateRequestsFirst) {
  Offer(1, 0, milliseconds(220));
  Offer(2, 1, seconds(5));
  Offer(3, 1, seconds(5));
  clock_.Advance(milliseconds(150));
  Offer(4, 2, seconds(5));
  EXPECT_EQ(CodeOf(1), ResultCode::kShed) << "late, though of the highest priority";
  for (const int id : {2, 3, 4}) EXPECT_EQ(CodeOf(id), ResultCode::kPending) << id;
  Offer(5, 2, seconds(5));
  EXPECT_EQ(CodeOf(5), ResultCode::kServerFull) << "all are in time";
}

// A slow server: the answer to the first queued request would come after its deadline.
TEST_F(AdmissionLatenessTest, ALateRequestThatCannotFinishIsNotServed) {
  Offer(1, 0, milliseconds(250), milliseconds(300));
  clock_.Advance(milliseconds(250));
  Offer(2, 1, milliseconds(-50));
  EXPECT_EQ(CodeOf(2), ResultCode::kPending);
  Finish();
  EXPECT_EQ(CodeOf(1), ResultCode::kShed);
  EXPECT_EQ(CodeOf(2), ResultCode::kOk);
}

}  // namespace
}  // namespace quetzal
