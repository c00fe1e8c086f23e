#ifndef QUETZAL_CALLS_ATTEMPT_INQUIRY_H_
#define QUETZAL_CALLS_ATTEMPT_INQUIRY_H_

#include <functional>
#include <string>

#include "calls.pb.h"
#include "calls/call_context.h"

namespace quetzal {

/// RPC method that asks an admitting node for the outcome of an attempt.
inline constexpr char kAttemptMethod[] = "/calls/attempt";

using AttemptReplyCallback =
    std::function<void(ResultCode code, const AttemptReply& reply)>;

/// Asks the admitting node that `record` names. `on_reply` is called once, on any thread;
/// inside this call when that node is this one or its address is malformed.
void InquireAttempt(const CallContext& context, AttemptTable* local_attempts,
                    const KeyRecord& record, bool fence, Duration timeout,
                    const AttemptReplyCallback& on_reply);

/// Answers an AttemptQuery from the table of this node. The reply has no phase when the
/// query names another incarnation of the node.
AttemptReply AnswerAttemptQuery(const AttemptQuery& query, std::uint64_t incarnation,
                                AttemptTable* attempts);

/// Serves kAttemptMethod while `context` exists; refuses with kNodeStopping afterwards.
void ServeAttemptQueries(const std::shared_ptr<CallContext>& context);

}  // namespace quetzal

#endif  // QUETZAL_CALLS_ATTEMPT_INQUIRY_H_
