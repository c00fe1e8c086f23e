#ifndef QUETZAL_KERNEL_RUNTIME_H_
#define QUETZAL_KERNEL_RUNTIME_H_

#include <functional>
#include <memory>

#include "kernel/executor.h"
#include "kernel/plugin_registry.h"

namespace quetzal {

/// The worker threads of a process. Transports and timers run on them.
class Runtime {
 public:
  virtual ~Runtime() = default;

  /// Returns an executor that runs its tasks one after another.
  virtual std::unique_ptr<Executor> MakeExecutor() = 0;

  /// Calls `stop` once, on the first SIGTERM or SIGINT; ignores later ones.
  virtual void OnStopSignal(std::function<void()> stop) = 0;

  /// Calls `reload` on every SIGHUP, which then does not terminate the process.
  virtual void OnReloadSignal(std::function<void()> reload) = 0;

  /// Stops all worker threads; discards tasks that have not started.
  virtual void Stop() = 0;
};

/// Runtimes by name; the argument is the number of worker threads.
using RuntimeRegistry = PluginRegistry<Runtime, int>;

}  // namespace quetzal

#endif  // QUETZAL_KERNEL_RUNTIME_H_
