#ifndef QUETZAL_TESTS_KEYS_MEMORY_RPC_H_
#define QUETZAL_TESTS_KEYS_MEMORY_RPC_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "kernel/executor.h"
#include "net/rpc.h"

namespace quetzal {

/// Carries RPCs between simulated instances in one process. Requests and replies are
/// delivered on any worker and in any order; a share of them is lost, which the caller
/// gets as kTimeout. Thread-safe.
class MemoryRpc final : public RpcClient {
 public:
  class Server final : public RpcServer {
   public:
    void Serve(const std::string& method, Method handler) override {
      methods_[method] = std::move(handler);
    }

   private:
    friend class MemoryRpc;
    std::map<std::string, Method> methods_;
  };

  /// The executors run the requests, several of them in parallel.
  MemoryRpc(std::vector<std::unique_ptr<Executor>> executors, std::uint64_t seed,
            unsigned loss_percent)
      : executors_(std::move(executors)), random_(seed), loss_percent_(loss_percent) {}

  /// Must not be called after the first Call().
  void AddServer(const Endpoint& address, Server* server) {
    servers_[address.ToString()] = server;
  }

  void Call(const Endpoint& peer, const std::string& method, std::string request,
            Duration /*timeout*/, RpcReply reply) override {
    const DeliveryPlan plan = PlanDelivery();
    executors_[plan.request_executor]->Post(
        [=, request = std::move(request), reply = std::move(reply)] {
          if (plan.request_lost) return reply(ResultCode::kTimeout, "");
          servers_.at(peer.ToString())
              ->methods_.at(method)(
                  request, [this, plan, reply](ResultCode code, std::string body) {
                    executors_[plan.reply_executor]->Post([=, body = std::move(body)] {
                      if (plan.reply_lost) return reply(ResultCode::kTimeout, "");
                      reply(code, body);
                    });
                  });
        });
  }

 private:
  struct DeliveryPlan {
    std::size_t request_executor = 0;
    std::size_t reply_executor = 0;
    bool request_lost = false;
    bool reply_lost = false;
  };

  DeliveryPlan PlanDelivery() {
    std::lock_guard<std::mutex> lock(mutex_);
    return {static_cast<std::size_t>(random_.Below(executors_.size())),
            static_cast<std::size_t>(random_.Below(executors_.size())),
            random_.Below(100) < loss_percent_, random_.Below(100) < loss_percent_};
  }

  std::vector<std::unique_ptr<Executor>> executors_;
  std::map<std::string, Server*> servers_;
  std::mutex mutex_;
  Random random_;
  unsigned loss_percent_;
};

}  // namespace quetzal

#endif  // QUETZAL_TESTS_KEYS_MEMORY_RPC_H_
