#ifndef QUETZAL_PLUGINS_RUNTIME_ASIO_WORKER_POOL_H_
#define QUETZAL_PLUGINS_RUNTIME_ASIO_WORKER_POOL_H_

#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "kernel/runtime.h"

namespace quetzal {

/// Runtime on Boost.Asio. Its worker threads run all sockets and timers.
class WorkerPool final : public Runtime {
 public:
  explicit WorkerPool(int workers);
  ~WorkerPool() override;

  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  boost::asio::io_context& context() { return context_; }

  /// Casts `runtime` to a worker pool. Throws Error(kSettingsInvalid) when it is another
  /// runtime.
  static WorkerPool* Of(Runtime* runtime);

  std::unique_ptr<Executor> MakeExecutor() override;
  void OnStopSignal(std::function<void()> stop) override;
  void OnReloadSignal(std::function<void()> reload) override;
  void Stop() override;

 private:
  void AwaitReload();

  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard_;
  std::vector<std::thread> threads_;
  std::shared_ptr<void> signals_;
  std::shared_ptr<boost::asio::signal_set> reload_signals_;
  std::function<void()> reload_;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_RUNTIME_ASIO_WORKER_POOL_H_
