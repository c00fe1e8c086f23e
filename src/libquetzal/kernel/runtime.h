#ifndef QUETZAL_KERNEL_RUNTIME_H_
#define QUETZAL_KERNEL_RUNTIME_H_

#include <functional>
#include <memory>

#include "kernel/executor.h"
#include "kernel/plugin_registry.h"

namespace quetzal {

/// The worker threads of a process; its transports and timers run on them.
class Runtime {
 public:
  virtual ~Runtime() = default;

  /// An executor whose tasks run one after another.
  virtual std::unique_ptr<Executor> MakeExecutor() = 0;

  /// Calls `stop` once at the first SIGTERM or SIGINT; later signals change nothing.
  virtual void OnStopSignal(std::function<void()> stop) = 0;

  /// Calls `reload` at every SIGHUP, which no longer ends the process.
  virtual void OnReloadSignal(std::function<void()> reload) = 0;

  /// Ends all workers; tasks not yet begun are dropped.
  virtual void Stop() = 0;
};

/// Runtimes by name; the argument is the number of worker threads.
using RuntimeRegistry = PluginRegistry<Runtime, int>;

}  // namespace quetzal

#endif  // QUETZAL_KERNEL_RUNTIME_H_
