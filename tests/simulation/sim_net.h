#ifndef QUETZAL_TESTS_SIMULATION_SIM_NET_H_
#define QUETZAL_TESTS_SIMULATION_SIM_NET_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "kernel/executor.h"
#include "net/datagram.h"
#include "net/rpc.h"
#include "simulation/sim_world.h"

namespace quetzal::simulation {

class SimTimer final : public Timer {
 public:
  explicit SimTimer(std::shared_ptr<bool> alive) : alive_(std::move(alive)) {}
  ~SimTimer() override { *alive_ = false; }

 private:
  std::shared_ptr<bool> alive_;
};

class SimExecutor final : public Executor {
 public:
  SimExecutor(SimWorld* world, Host* host) : world_(world), host_(host) {}

  void Post(std::function<void()> task) override {
    world_->Schedule(Duration{0}, host_, std::move(task));
  }
  std::unique_ptr<Timer> After(Duration delay, std::function<void()> task) override {
    auto alive = std::make_shared<bool>(true);
    world_->Schedule(delay, host_, [alive, task = std::move(task)] {
      if (*alive) task();
    });
    return std::make_unique<SimTimer>(alive);
  }
  std::unique_ptr<Timer> Every(Duration period, std::function<void()> task) override {
    auto alive = std::make_shared<bool>(true);
    Repeat(period, alive, std::make_shared<std::function<void()>>(std::move(task)));
    return std::make_unique<SimTimer>(alive);
  }

 private:
  void Repeat(Duration period, const std::shared_ptr<bool>& alive,
              const std::shared_ptr<std::function<void()>>& task) {
    world_->Schedule(period, host_, [this, period, alive, task] {
      if (!*alive) return;
      (*task)();
      if (*alive) Repeat(period, alive, task);
    });
  }

  SimWorld* world_;
  Host* host_;
};

/// The registered receivers and handlers of all hosts.
struct HandlerRegistry {
  std::map<Endpoint, std::pair<std::uint64_t, DatagramSocket::Receiver>> receivers;
  std::map<std::pair<Host*, std::string>, RpcServer::Method> methods;
  std::map<std::pair<Host*, std::string>, MessageChannels::Acceptor> acceptors;
  std::vector<std::weak_ptr<class SimChannel>> channels;
};

class SimDatagramSocket final : public DatagramSocket {
 public:
  SimDatagramSocket(SimWorld* world, HandlerRegistry* registry, Host* host)
      : world_(world), registry_(registry), host_(host) {}

  Endpoint Bind(const Endpoint& /*endpoint*/, Receiver receiver) override {
    registry_->receivers[host_->gossip] = {host_->process_generation,
                                           std::move(receiver)};
    return host_->gossip;
  }
  void Send(const Endpoint& to, std::string bytes) override {
    constexpr std::size_t kHeaders = 28;  // IP and UDP.
    world_->datagram_bytes += bytes.size() + kHeaders;
    Host* target = world_->HostAt(to);
    if (target == nullptr || !world_->Passes(*host_, *target)) return;
    if (world_->random.Unit() < world_->conditions.drop_share) return;
    const int copies = world_->random.Unit() < world_->conditions.duplicate_share ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      world_->Schedule(world_->Latency(*host_, *target), target,
                       [registry = registry_, from = host_->gossip, to, bytes, target] {
                         auto it = registry->receivers.find(to);
                         if (it == registry->receivers.end()) return;
                         if (it->second.first == target->process_generation)
                           it->second.second(from, bytes);
                       });
    }
  }

 private:
  SimWorld* world_;
  HandlerRegistry* registry_;
  Host* host_;
};

class SimRpc final : public RpcClient, public RpcServer {
 public:
  SimRpc(SimWorld* world, HandlerRegistry* registry, Host* host)
      : world_(world), registry_(registry), host_(host) {}

  void Serve(const std::string& method, Method handler) override {
    registry_->methods[{host_, method}] = std::move(handler);
  }
  void Call(const Endpoint& peer, const std::string& method, std::string request,
            Duration timeout, RpcReply reply) override {
    auto once = std::make_shared<RpcReply>(std::move(reply));
    const auto finish = [once](ResultCode code, std::string body) {
      if (RpcReply call = std::exchange(*once, nullptr)) call(code, std::move(body));
    };
    world_->Schedule(timeout, host_, [finish] { finish(ResultCode::kTimeout, ""); });
    Host* target = world_->HostAt(peer);
    world_->stream_bytes += request.size();
    if (target == nullptr || !world_->Passes(*host_, *target) || IsDropped()) return;
    if (!target->up) {
      world_->Schedule(world_->Latency(*host_, *target), host_,
                       [finish] { finish(ResultCode::kConnectFailed, ""); });
      return;
    }
    world_->Schedule(world_->Latency(*host_, *target), target,
                     [this, target, method, request = std::move(request), finish,
                      process_generation = host_->process_generation] {
                       auto it = registry_->methods.find({target, method});
                       if (it == registry_->methods.end()) return;
                       it->second(request, [this, target, finish, process_generation](
                                               ResultCode code, const std::string& body) {
                         world_->stream_bytes += body.size();
                         if (host_->process_generation != process_generation ||
                             !world_->Passes(*target, *host_) || IsDropped())
                           return;
                         world_->Schedule(world_->Latency(*target, *host_), host_,
                                          [finish, code, body] { finish(code, body); });
                       });
                     });
  }

 private:
  bool IsDropped() { return world_->random.Unit() < world_->conditions.drop_share; }

  SimWorld* world_;
  HandlerRegistry* registry_;
  Host* host_;
};

/// One end of an ordered channel. While the link is cut, messages wait, as with TCP;
/// they are lost when an end closes.
class SimChannel final : public MessageChannel,
                         public std::enable_shared_from_this<SimChannel> {
 public:
  SimChannel(SimWorld* world, Host* local_host, Host* peer_host)
      : world_(world), local_host_(local_host), peer_host_(peer_host) {}

  void Send(const std::string& message) override {
    if (closed_) return;
    constexpr std::size_t kHeaders = 61;  // IP, TCP and an HTTP/2 frame.
    world_->stream_bytes += message.size() + kHeaders;
    outgoing_.push_back(message);
    Pump();
  }
  void Close() override {
    if (closed_) return;
    closed_ = true;
    closing_ = true;
    Pump();
  }
  std::size_t buffered_bytes() const override {
    std::size_t bytes = 0;
    for (const std::string& message : outgoing_) bytes += message.size();
    return bytes;
  }

  /// Closes this end because the process of the peer has ended.
  void Break() {
    if (closed_) return;
    closed_ = true;
    if (handler) handler->OnClosed(ResultCode::kConnectionLost);
    handler = nullptr;
  }
  bool HasEndAt(const Host* host) const {
    return local_host_ == host || peer_host_ == host;
  }
  Host* local_host() const { return local_host_; }

  std::shared_ptr<MessageChannelHandler> handler;
  std::weak_ptr<SimChannel> other;

 private:
  void Pump() {
    if (pumping_) return;
    pumping_ = true;
    Step();
  }
  void Step() {
    if (outgoing_.empty() && !closing_) {
      pumping_ = false;
      return;
    }
    // Packet loss delays an ordered channel but loses no messages.
    const bool blocked = !world_->Passes(*local_host_, *peer_host_) ||
                         world_->random.Unit() < world_->conditions.drop_share;
    const Duration wait = blocked ? Duration(milliseconds(200))
                                  : world_->Latency(*local_host_, *peer_host_);
    if (blocked) {
      world_->Schedule(wait, local_host_, [self = shared_from_this()] { self->Step(); });
      return;
    }
    auto batch = std::exchange(outgoing_, {});
    const bool last = std::exchange(closing_, false);
    // The receiver may be paused. This must not block the sender, so delivery and the
    // next step are scheduled separately.
    world_->Schedule(wait, peer_host_, [self = shared_from_this(), batch, last] {
      auto target = self->other.lock();
      if (target == nullptr) return;
      for (const std::string& message : batch) {
        if (target->handler && !target->closed_) target->handler->OnMessage(message);
      }
      if (last && !target->closed_) {
        target->closed_ = true;
        if (target->handler) target->handler->OnClosed(ResultCode::kOk);
        target->handler = nullptr;
      }
    });
    world_->Schedule(wait, local_host_, [self = shared_from_this()] { self->Step(); });
    if (last) handler = nullptr;
  }

  SimWorld* world_;
  Host* local_host_;
  Host* peer_host_;
  std::deque<std::string> outgoing_;
  bool pumping_ = false;
  bool closed_ = false;
  bool closing_ = false;
};

class SimChannels final : public MessageChannels {
 public:
  SimChannels(SimWorld* world, HandlerRegistry* registry, Host* host)
      : world_(world), registry_(registry), host_(host) {}

  void Accept(const std::string& path, Acceptor acceptor) override {
    registry_->acceptors[{host_, path}] = std::move(acceptor);
  }
  std::shared_ptr<MessageChannel> Open(
      const Endpoint& peer, const std::string& path,
      std::shared_ptr<MessageChannelHandler> handler) override {
    Host* target = world_->HostAt(peer);
    auto here = std::make_shared<SimChannel>(world_, host_, target);
    here->handler = std::move(handler);
    const bool passes =
        world_->Passes(*host_, *target) && world_->Passes(*target, *host_);
    if (!passes) return here;
    if (!target->up) {
      world_->Schedule(world_->Latency(*host_, *target), host_,
                       [here] { here->Break(); });
      return here;
    }
    auto there = std::make_shared<SimChannel>(world_, target, host_);
    here->other = there;
    there->other = here;
    world_->Schedule(Duration{0}, target, [this, target, path, there] {
      auto it = registry_->acceptors.find({target, path});
      if (it != registry_->acceptors.end()) there->handler = it->second(there);
    });
    accepted_.push_back(there);
    registry_->channels.emplace_back(here);
    registry_->channels.emplace_back(there);
    return here;
  }

 private:
  SimWorld* world_;
  HandlerRegistry* registry_;
  Host* host_;
  std::vector<std::shared_ptr<SimChannel>> accepted_;
};

/// Breaks the channels of a host whose process ends; peers notice it unless they are cut
/// off.
inline void BreakChannels(SimWorld* world, HandlerRegistry* registry, Host* host) {
  std::vector<std::weak_ptr<SimChannel>> remaining;
  for (const auto& weak : std::exchange(registry->channels, {})) {
    auto channel = weak.lock();
    if (channel == nullptr) continue;
    if (!channel->HasEndAt(host)) {
      remaining.push_back(weak);
    } else if (channel->local_host() == host) {
      channel->handler = nullptr;
    } else if (world->Passes(*host, *channel->local_host())) {
      world->Schedule(world->Latency(*host, *channel->local_host()),
                      channel->local_host(), [channel] { channel->Break(); });
    }
  }
  registry->channels.insert(registry->channels.end(), remaining.begin(), remaining.end());
}

}  // namespace quetzal::simulation

#endif  // QUETZAL_TESTS_SIMULATION_SIM_NET_H_
