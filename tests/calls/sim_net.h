#ifndef QUETZAL_TESTS_CALLS_SIM_NET_H_
#define QUETZAL_TESTS_CALLS_SIM_NET_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "kernel/executor.h"
#include "net/rpc.h"
#include "net/stream.h"

namespace quetzal {

/// Queue of timed tasks. Only Run advances its clock.
class SimLoop {
 public:
  using Task = std::function<void()>;

  /// Runs `task` after `delay`, when Run reaches that time.
  void Schedule(Duration delay, Task task) {
    tasks_.emplace(std::make_pair(clock.Now() + delay, ++sequence_), std::move(task));
  }

  /// Runs the tasks that are due within `span` and leaves the clock at its end.
  void Run(Duration span) {
    const SteadyTime end = clock.Now() + span;
    while (!tasks_.empty() && tasks_.begin()->first.first <= end) {
      auto it = tasks_.begin();
      if (it->first.first > clock.Now()) clock.Advance(it->first.first - clock.Now());
      Task task = std::move(it->second);
      tasks_.erase(it);
      task();
    }
    clock.Advance(end - clock.Now());
  }

  ManualClock clock;

 private:
  std::map<std::pair<SteadyTime, std::uint64_t>, Task> tasks_;
  std::uint64_t sequence_ = 0;
};

class SimExecutor final : public Executor {
 public:
  /// Tasks run only while `*alive` is true.
  SimExecutor(SimLoop* loop, std::shared_ptr<bool> alive)
      : loop_(loop), alive_(std::move(alive)) {}

  void Post(std::function<void()> task) override {
    loop_->Schedule({}, [alive = alive_, task = std::move(task)] {
      if (*alive) task();
    });
  }

  std::unique_ptr<Timer> After(Duration delay, std::function<void()> task) override {
    auto timer = std::make_unique<SimTimer>();
    loop_->Schedule(delay, [alive = alive_, weak = std::weak_ptr<bool>(timer->active),
                            task = std::move(task)] {
      if (*alive && weak.lock()) task();
    });
    return timer;
  }

  std::unique_ptr<Timer> Every(Duration period, std::function<void()> task) override {
    auto timer = std::make_unique<SimTimer>();
    Repeat(period, std::weak_ptr<bool>(timer->active), std::move(task));
    return timer;
  }

 private:
  struct SimTimer final : Timer {
    std::shared_ptr<bool> active = std::make_shared<bool>(true);
  };

  void Repeat(Duration period, const std::weak_ptr<bool>& weak,
              std::function<void()> task) {
    loop_->Schedule(period, [this, period, weak, task = std::move(task)] {
      if (!*alive_ || !weak.lock()) return;
      task();
      Repeat(period, weak, task);
    });
  }

  SimLoop* loop_;
  const std::shared_ptr<bool> alive_;
};

/// A simulated network that carries streams and RPC requests between hosts. A host is
/// named by the address of its endpoints. Faults are set for a host or for a pair of
/// hosts.
class SimNet {
 public:
  explicit SimNet(SimLoop* loop) : loop(loop) {}
  ~SimNet();

  /// Drops everything between the two hosts until Heal. Their streams stay open until
  /// CutStreams.
  void Block(const std::string& a, const std::string& b) { blocked_.insert({a, b}); }
  void Heal() { blocked_.clear(); }
  bool Passes(const std::string& from, const std::string& to) const {
    return blocked_.count({from, to}) == 0 && blocked_.count({to, from}) == 0;
  }

  /// Stops all listeners of the host and ends its streams with kConnectionLost.
  void Kill(const std::string& host);

  /// Resets every stream between the two hosts.
  void CutStreams(const std::string& a, const std::string& b);

  SimLoop* const loop;
  Duration delay = std::chrono::microseconds(500);
  std::function<Duration()> jitter;  ///< Added to the delay; a stream keeps its order.

  /// Returns the delay of the next event of one side of a stream, so that it does not
  /// overtake earlier ones. `last` is the arrival time of the latest event.
  Duration DelayAfter(SteadyTime* last) const {
    const SteadyTime now = loop->clock.Now();
    const Duration extra = jitter ? jitter() : Duration::zero();
    *last = std::max(*last, now + delay + extra);
    return *last - now;
  }
  std::map<Endpoint, StreamAcceptor> listeners;
  std::map<Endpoint, std::map<std::string, RpcServer::Method>> methods;
  std::set<std::string> down;  ///< Killed hosts.

  /// Called for each event that is sent; the event is dropped when it returns true.
  /// `kind` is "open", "headers", "data", "end", "reset", "credit" or the name of an RPC
  /// method.
  std::function<bool(const std::string& from, const std::string& to,
                     const std::string& kind)>
      should_drop;

  /// Called for each stream that the host `from` opens; may be null.
  std::function<void(const std::string& from, const StreamHeaders& headers)> on_open;

  struct Pair;  ///< The two sides of a stream.
  std::vector<std::weak_ptr<Pair>> pairs;

 private:
  std::set<std::pair<std::string, std::string>> blocked_;
};

/// Streams of one host over a SimNet.
class SimTransport final : public StreamTransport {
 public:
  SimTransport(SimNet* net, std::string host, std::shared_ptr<bool> alive)
      : net_(net), host_(std::move(host)), alive_(std::move(alive)) {}

  void StartAccepting() override {}
  Endpoint Bind(const Endpoint& endpoint, StreamAcceptor acceptor) override {
    net_->listeners[endpoint] = std::move(acceptor);
    return endpoint;
  }
  std::shared_ptr<Stream> Open(const Endpoint& peer, const std::string& path,
                               StreamHeaders headers, bool end,
                               std::shared_ptr<StreamHandler> handler) override;
  void Connect(const Endpoint& peer, const std::function<void(bool)>& done) override {
    net_->loop->Schedule(2 * net_->delay, [net = net_, peer, alive = alive_, done] {
      const bool listens =
          net->down.count(peer.address) == 0 && net->listeners.count(peer) > 0;
      if (*alive) done(listens);
    });
  }
  void Drain() override {}
  std::size_t open_streams() const override { return 0; }

 private:
  SimNet* net_;
  const std::string host_;
  const std::shared_ptr<bool> alive_;
};

/// RPC client and server of one host over a SimNet.
class SimRpc final : public RpcClient, public RpcServer {
 public:
  SimRpc(SimNet* net, Endpoint self, std::shared_ptr<bool> alive)
      : net_(net), self_(std::move(self)), alive_(std::move(alive)) {}

  void Call(const Endpoint& peer, const std::string& method, std::string request,
            Duration timeout, RpcReply reply) override;
  void Serve(const std::string& method, Method handler) override {
    net_->methods[self_][method] = std::move(handler);
  }

 private:
  SimNet* net_;
  const Endpoint self_;
  const std::shared_ptr<bool> alive_;
};

}  // namespace quetzal

#endif  // QUETZAL_TESTS_CALLS_SIM_NET_H_
