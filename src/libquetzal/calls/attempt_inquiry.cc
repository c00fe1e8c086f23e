#include "calls/attempt_inquiry.h"

#include <utility>

namespace quetzal {
namespace {

AttemptPhase PhaseOf(AttemptState state) {
  switch (state) {
    case AttemptState::kNeverSeen:
      return ATTEMPT_NEVER_SEEN;
    case AttemptState::kRunning:
      return ATTEMPT_RUNNING;
    case AttemptState::kNotRun:
      return ATTEMPT_NOT_RUN;
    case AttemptState::kDone:
      return ATTEMPT_DONE;
    case AttemptState::kUnknown:
      return ATTEMPT_UNKNOWN;
  }
  return ATTEMPT_UNKNOWN;
}

}  // namespace

AttemptReply AnswerAttemptQuery(const AttemptQuery& query, std::uint64_t incarnation,
                                AttemptTable* attempts) {
  AttemptReply reply;
  // Attempts of an earlier incarnation of this node are not known and may have run.
  if (query.incarnation() != incarnation) return reply;
  AttemptView view = attempts->Inquire(query.attempt_id(), query.fence());
  reply.set_phase(PhaseOf(view.state));
  if (view.state == AttemptState::kDone) *reply.mutable_answer() = std::move(view.answer);
  return reply;
}

void InquireAttempt(const CallContext& context, AttemptTable* local_attempts,
                    const KeyRecord& record, bool fence, Duration timeout,
                    const AttemptReplyCallback& on_reply) {
  AttemptQuery query;
  query.set_attempt_id(record.attempt_id());
  query.set_incarnation(record.admitting_incarnation());
  query.set_fence(fence);
  if (record.admitting_instance() == context.options.instance) {
    return on_reply(
        ResultCode::kOk,
        AnswerAttemptQuery(query, context.options.incarnation, local_attempts));
  }
  Endpoint peer;
  try {
    peer = ParseEndpoint(record.admitting_address());
  } catch (const Error&) {
    return on_reply(ResultCode::kMessageMalformed, {});
  }
  context.deps.rpc_client->Call(
      peer, kAttemptMethod, query.SerializeAsString(), timeout,
      [on_reply](ResultCode code, const std::string& body) {
        AttemptReply reply;
        if (code == ResultCode::kOk && !reply.ParseFromString(body)) {
          code = ResultCode::kMessageMalformed;
        }
        on_reply(code, reply);
      });
}

void ServeAttemptQueries(const std::shared_ptr<CallContext>& context) {
  context->deps.rpc_server->Serve(
      kAttemptMethod, [weak = std::weak_ptr<CallContext>(context)](
                          const std::string& request, const RpcReply& reply) {
        auto strong = weak.lock();
        if (!strong) return reply(ResultCode::kNodeStopping, {});
        AttemptQuery query;
        if (!query.ParseFromString(request)) {
          return reply(ResultCode::kMessageMalformed, {});
        }
        const AttemptReply answer =
            AnswerAttemptQuery(query, strong->options.incarnation, &strong->attempts);
        reply(ResultCode::kOk, answer.SerializeAsString());
      });
}

}  // namespace quetzal
