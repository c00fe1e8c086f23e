#include "control/order_service.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "base/result_code.h"
#include "configuration/rollout_list.h"
#include "control/intent_record.h"
#include "control/order_content.h"

namespace quetzal {
namespace {

constexpr char kOrderMethod[] = "/control/order";

/// Operators switch to another control instance after a second without an answer.
constexpr Duration kForwardTimeout = std::chrono::milliseconds(900);

/// One from an instance outside the group to a member, one from there to the leader.
constexpr std::uint32_t kMaxHops = 2;

OrderAnswer MakeAnswer(ResultCode code, std::string message) {
  OrderAnswer answer;
  answer.set_code(static_cast<int>(code));
  answer.set_message(std::move(message));
  return answer;
}

}  // namespace

OrderService::OrderService(const Dependencies& dependencies, PeerSource peers,
                           std::uint32_t max_share_permille)
    : dependencies_(dependencies),
      peers_(std::move(peers)),
      max_share_permille_(max_share_permille) {}

void OrderService::Start() {
  dependencies_.rpc_server->Serve(
      kOrderMethod, [this](const std::string& bytes, const RpcReply& reply) {
        ForwardedOrder order;
        if (!order.ParseFromString(bytes)) {
          return reply(ResultCode::kMessageMalformed, "");
        }
        dependencies_.executor->Post([this, order = std::move(order), reply] {
          Dispatch(order, [reply](const OrderAnswer& answer) {
            reply(ResultCode::kOk, answer.SerializeAsString());
          });
        });
      });
}

void OrderService::Replace(const ConfigurationOrder& order, ReplaceDone done) {
  ForwardedOrder message;
  ReplaceConfiguration* replace = message.mutable_replace();
  replace->set_number(order.number);
  replace->set_base(order.base);
  replace->set_digest(DigestOfDocument(order.document));
  ReplacedContent content;
  content.set_document(order.document);
  *content.mutable_configuration() = order.configuration;
  replace->set_content(content.SerializeAsString());
  dependencies_.executor->Post([this, message = std::move(message),
                                done = std::move(done)] {
    Dispatch(message, [this, number = message.replace().number(),
                       base = message.replace().base(), done](const OrderAnswer& answer) {
      const ResultCode code = ResultCodeFromInt(answer.code());
      dependencies_.events->Emit({"order.answered",
                                  {{"number", std::to_string(number)},
                                   {"base", std::to_string(base)},
                                   {"code", std::string(InfoOf(code).name)},
                                   {"reason", answer.message()}}});
      done(code, answer.message());
    });
  });
}

void OrderService::Read(ReadDone done) {
  dependencies_.executor->Post([this, done = std::move(done)] {
    Dispatch(ForwardedOrder(), [done](const OrderAnswer& answer) {
      done(ResultCodeFromInt(answer.code()), answer.document());
    });
  });
}

void OrderService::StartRollout(const RolloutOrder& order, StartRolloutDone done) {
  ForwardedOrder message;
  quetzal::StartRollout* start = message.mutable_start_rollout();
  start->set_service(order.service);
  start->set_version(order.version);
  // A duration that does not fit is above the limit and is refused as such.
  constexpr auto kMaxMillis = std::int64_t{std::numeric_limits<std::uint32_t>::max()};
  start->set_duration_ms(static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(order.duration.count(), 0, kMaxMillis)));
  start->set_max_share_permille(max_share_permille_);
  dependencies_.executor->Post([this, message = std::move(message),
                                done = std::move(done)] {
    Dispatch(message,
             [this, start = message.start_rollout(), done](const OrderAnswer& answer) {
               const ResultCode code = ResultCodeFromInt(answer.code());
               dependencies_.events->Emit({"rollout.answered",
                                           {{"service", start.service()},
                                            {"target", start.version()},
                                            {"code", std::string(InfoOf(code).name)},
                                            {"reason", answer.message()}}});
               done(code, answer.message());
             });
  });
}

void OrderService::ReadRollout(const std::string& service, ReadRolloutDone done) {
  ForwardedOrder message;
  message.set_rollout_of(service);
  dependencies_.executor->Post(
      [this, message = std::move(message), done = std::move(done)] {
        Dispatch(message, [done](const OrderAnswer& answer) {
          done(ResultCodeFromInt(answer.code()), answer.rollout());
        });
      });
}

void OrderService::Dispatch(const ForwardedOrder& order, const Done& done) {
  if (order.has_replace() || order.has_start_rollout()) return Propose(order, done);
  ReadLocal(order, done);
}

void OrderService::Propose(const ForwardedOrder& order, const Done& done) {
  ControlEntry entry;
  entry.set_wall_micros(
      static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                     dependencies_.clock->WallNow().time_since_epoch())
                                     .count()));
  if (order.has_start_rollout()) {
    *entry.mutable_start_rollout() = order.start_rollout();
  } else {
    *entry.mutable_replace() = Pack(order.replace());
  }
  dependencies_.agreement->Propose(
      entry.SerializeAsString(),
      [this, order, done](ResultCode code, LogPosition, const std::string& result) {
        dependencies_.executor->Post(
            [this, order, code, result, done] { OnProposed(order, code, result, done); });
      });
}

ReplaceConfiguration OrderService::Pack(const ReplaceConfiguration& order) const {
  const std::uint64_t applied = dependencies_.machine->order_number();
  if (applied < order.base()) {
    dependencies_.events->Emit({"order.ahead_of_applied",
                                {{"number", std::to_string(order.number())},
                                 {"base", std::to_string(order.base())},
                                 {"applied", std::to_string(applied)}}});
  }
  return dependencies_.machine->Pack(order);
}

void OrderService::OnProposed(const ForwardedOrder& order, ResultCode code,
                              const std::string& bytes, const Done& done) {
  if (code == ResultCode::kNotLeader) return Forward(order, done);
  if (code != ResultCode::kOk) {
    return done(MakeAnswer(code, std::string(InfoOf(code).meaning)));
  }
  ControlResult result;
  if (!result.ParseFromString(bytes)) {
    return done(MakeAnswer(ResultCode::kInternalError, "the result cannot be read"));
  }
  done(MakeAnswer(ResultCodeFromInt(result.code()), result.message()));
}

void OrderService::ReadLocal(const ForwardedOrder& order, const Done& done) {
  dependencies_.agreement->ReadBarrier([this, order, done](ResultCode code) {
    dependencies_.executor->Post([this, order, done, code] {
      if (code == ResultCode::kNotLeader) return Forward(order, done);
      if (code != ResultCode::kOk) {
        return done(MakeAnswer(code, std::string(InfoOf(code).meaning)));
      }
      done(AnswerRead(order));
    });
  });
}

OrderAnswer OrderService::AnswerRead(const ForwardedOrder& order) const {
  if (order.rollout_of().empty()) {
    const std::optional<std::string> document = dependencies_.machine->document();
    if (!document) return MakeAnswer(ResultCode::kPending, "no configuration is active");
    OrderAnswer answer = MakeAnswer(ResultCode::kOk, "");
    answer.set_document(*document);
    return answer;
  }
  const auto configuration = dependencies_.machine->configuration();
  const Rollout* rollout = FindRollout(*configuration, order.rollout_of());
  if (rollout == nullptr) return MakeAnswer(ResultCode::kRolloutUnknown, "");
  OrderAnswer answer = MakeAnswer(ResultCode::kOk, "");
  *answer.mutable_rollout() = *rollout;
  return answer;
}

void OrderService::Forward(const ForwardedOrder& order, const Done& done) {
  const std::vector<Endpoint> peers = peers_();
  if (order.hops() >= kMaxHops || peers.empty()) {
    return done(MakeAnswer(ResultCode::kUnreachable, "no leader is known at present"));
  }
  ForwardedOrder next = order;
  next.set_hops(order.hops() + 1);
  dependencies_.rpc_client->Call(
      peers.front(), kOrderMethod, next.SerializeAsString(), kForwardTimeout,
      [this, done](ResultCode code, const std::string& bytes) {
        dependencies_.executor->Post([done, code, bytes] {
          OrderAnswer answer;
          if (code == ResultCode::kOk && answer.ParseFromString(bytes)) {
            return done(answer);
          }
          done(MakeAnswer(ResultCode::kUnreachable, "the leader does not answer"));
        });
      });
}

}  // namespace quetzal
