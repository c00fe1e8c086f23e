#include "keys/key_holder_service.h"

#include <utility>

namespace quetzal {
namespace {

constexpr std::chrono::milliseconds kMaintenancePeriod{100};
constexpr std::chrono::milliseconds kCopyTimeout{500};
constexpr std::uint32_t kCopyPartBytes = 64U << 10;

/// Wraps a typed method of the service as an RPC method.
template <class Request, class Reply>
RpcServer::Method MakeMethod(const std::weak_ptr<KeyHolderService>& service,
                             Reply (KeyHolderService::*method)(const Request&)) {
  return [service, method](const std::string& request, const RpcReply& reply) {
    Request message;
    if (!message.ParseFromString(request)) {
      return reply(ResultCode::kMessageMalformed, "");
    }
    auto self = service.lock();
    if (self == nullptr) return reply(ResultCode::kNodeStopping, "");
    reply(ResultCode::kOk, (self.get()->*method)(message).SerializeAsString());
  };
}

}  // namespace

KeyHolderService::KeyHolderService(std::string instance, std::uint64_t incarnation,
                                   const KeyAcceptorOptions& options, RpcClient* client,
                                   Executor* executor, const Clock* clock,
                                   EventLog* events)
    : instance_(std::move(instance)),
      client_(client),
      executor_(executor),
      events_(events),
      acceptor_(instance_, incarnation, options, clock) {}

void KeyHolderService::Start(RpcServer* server) {
  const std::weak_ptr<KeyHolderService> self = weak_from_this();
  server->Serve(kKeyPrepareMethod, MakeMethod(self, &KeyHolderService::Prepare));
  server->Serve(kKeyAcceptMethod, MakeMethod(self, &KeyHolderService::Accept));
  server->Serve(kKeyCopyMethod, MakeMethod(self, &KeyHolderService::Copy));
  server->Serve(kKeyStatusMethod, MakeMethod(self, &KeyHolderService::Status));
  timer_ = executor_->Every(kMaintenancePeriod, [self] {
    if (auto service = self.lock()) service->Maintain();
  });
}

void KeyHolderService::SetConfiguration(const Configuration& configuration) {
  std::lock_guard<std::mutex> lock(mutex_);
  acceptor_.SetGroups(configuration);
}

KeyVoteReply KeyHolderService::Prepare(const KeyPrepare& message) {
  std::lock_guard<std::mutex> lock(mutex_);
  return acceptor_.Prepare(message);
}

KeyVoteReply KeyHolderService::Accept(const KeyAccept& message) {
  std::lock_guard<std::mutex> lock(mutex_);
  return acceptor_.Accept(message);
}

KeyCopyReply KeyHolderService::Copy(const KeyCopyRequest& message) {
  std::lock_guard<std::mutex> lock(mutex_);
  return acceptor_.Copy(message);
}

KeyStatusReply KeyHolderService::Status(const KeyStatusRequest& message) {
  std::lock_guard<std::mutex> lock(mutex_);
  return acceptor_.Status(message.group());
}

bool KeyHolderService::holds_any_group() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return acceptor_.holds_any_group();
}

std::size_t KeyHolderService::record_count() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return acceptor_.record_count();
}

std::size_t KeyHolderService::record_bytes() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return acceptor_.record_bytes();
}

void KeyHolderService::Maintain() {
  KeyGroupName group;
  KeyHolder source;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    acceptor_.Expire();
    // One copy at a time bounds the memory and the load on the sources.
    if (copying_ || !PickCopy(&group, &source)) return;
    copying_ = true;
  }
  CopyPart(group, source, "");
}

bool KeyHolderService::PickCopy(KeyGroupName* group, KeyHolder* source) {
  const auto missing = acceptor_.MissingCopies();
  if (missing.empty()) return false;
  // Rotates over groups and sources, so that an unresponsive source blocks no other copy.
  const std::uint64_t turn = next_copy_++;
  const KeyAcceptor::MissingCopy& copy = missing[turn % missing.size()];
  if (copy.sources.empty()) return false;
  *group = copy.group;
  *source = copy.sources[turn / missing.size() % copy.sources.size()];
  return true;
}

void KeyHolderService::CopyPart(const KeyGroupName& group, const KeyHolder& source,
                                std::string after_key) {
  KeyCopyRequest request;
  *request.mutable_group() = group;
  request.set_after_key(std::move(after_key));
  request.set_limit_bytes(kCopyPartBytes);
  client_->Call(
      ParseEndpoint(source.stream_address()), kKeyCopyMethod, request.SerializeAsString(),
      kCopyTimeout,
      [weak = weak_from_this(), group, source](ResultCode code, const std::string& body) {
        auto self = weak.lock();
        if (self != nullptr) self->OnCopyPart(group, source, code, body);
      });
}

void KeyHolderService::OnCopyPart(const KeyGroupName& group, const KeyHolder& source,
                                  ResultCode code, const std::string& body) {
  KeyCopyReply part;
  bool caught_up = false;
  bool more = false;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    copying_ = false;
    if (code != ResultCode::kOk || !part.ParseFromString(body)) return;
    acceptor_.MergeCopy(group, source, part);
    caught_up = acceptor_.Status(group).caught_up();
    more = part.vote() == KEY_VOTE_YES && !part.last() && part.entries_size() > 0;
    copying_ = more;
  }
  if (more) {
    CopyPart(group, source, part.entries(part.entries_size() - 1).key());
  } else if (caught_up) {
    events_->Emit({"keys.caught_up",
                   {{"data_centre_of_group", group.data_centre()},
                    {"group", std::to_string(group.number())},
                    {"generation", std::to_string(group.generation())}}});
  }
}

}  // namespace quetzal
