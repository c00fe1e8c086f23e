#include "membership/membership_link.h"

#include <utility>

namespace quetzal {
namespace {

constexpr Duration kExchangeTimeout = std::chrono::seconds(2);
constexpr Duration kRecordTimeout = std::chrono::milliseconds(500);
constexpr char kExchangeMethod[] = "/membership/exchange";

/// Tells the kind without parsing the datagram: it is the first field that is written.
bool IsQuotaDatagram(const std::string& bytes) {
  constexpr char kKindTag = GossipDatagram::kKindFieldNumber << 3;
  return bytes.size() >= 2 && bytes[0] == kKindTag && bytes[1] == GOSSIP_QUOTA;
}

}  // namespace

Endpoint MembershipLink::Bind(const Endpoint& endpoint) {
  return dependencies_.datagrams->Bind(
      endpoint, [weak = weak_from_this(), executor = dependencies_.executor](
                    const Endpoint& from, std::string bytes) {
        executor->Post([weak, from, bytes = std::move(bytes)] {
          auto self = weak.lock();
          if (self == nullptr || self->stopped_) return;
          self->OnDatagram(from, bytes);
        });
      });
}

void MembershipLink::OnDatagram(const Endpoint& from, const std::string& bytes) {
  if (!IsQuotaDatagram(bytes)) {
    membership_->OnDatagram(from, bytes);
    return Run();
  }
  GossipDatagram datagram;
  if (quota_receiver_ && datagram.ParseFromString(bytes)) quota_receiver_(datagram);
}

void MembershipLink::Send(const Endpoint& to, std::string bytes) {
  if (!stopped_) dependencies_.datagrams->Send(to, std::move(bytes));
}

void MembershipLink::Serve() {
  dependencies_.rpc_server->Serve(
      kExchangeMethod, [weak = weak_from_this(), executor = dependencies_.executor](
                           const std::string& request, const RpcReply& reply) {
        executor->Post([weak, request, reply] {
          auto self = weak.lock();
          if (self == nullptr || self->stopped_) {
            return reply(ResultCode::kNodeStopping, "");
          }
          std::string answer = self->membership_->OnExchange(request);
          self->Run();
          reply(ResultCode::kOk, std::move(answer));
        });
      });
}

void MembershipLink::Run() {
  for (MembershipAction& action : membership_->TakeActions()) {
    if (action.kind == MembershipAction::Kind::kSend) {
      dependencies_.datagrams->Send(action.to, std::move(action.bytes));
    } else {
      Exchange(action);
    }
  }
}

void MembershipLink::ExchangeRecord(const Endpoint& peer,
                                    std::function<void(bool held)> done) {
  dependencies_.rpc_client->Call(
      peer, kExchangeMethod, membership_->MakeRecordRequest(), kRecordTimeout,
      [weak = weak_from_this(), executor = dependencies_.executor,
       done = std::move(done)](ResultCode code, const std::string& body) {
        executor->Post([weak, code, body, done] {
          auto self = weak.lock();
          if (self == nullptr || self->stopped_) return;
          done(code == ResultCode::kOk && self->membership_->OnRecordReply(body));
        });
      });
}

void MembershipLink::Exchange(const MembershipAction& action) {
  dependencies_.rpc_client->Call(
      action.to, kExchangeMethod, action.bytes, kExchangeTimeout,
      [weak = weak_from_this(), executor = dependencies_.executor, peer = action.to](
          ResultCode code, const std::string& body) {
        if (code != ResultCode::kOk) return;
        executor->Post([weak, peer, body] {
          auto self = weak.lock();
          if (self == nullptr || self->stopped_) return;
          self->membership_->OnExchangeReply(peer, body);
          self->Run();
        });
      });
}

}  // namespace quetzal
