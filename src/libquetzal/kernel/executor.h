#ifndef QUETZAL_KERNEL_EXECUTOR_H_
#define QUETZAL_KERNEL_EXECUTOR_H_

#include <functional>
#include <memory>

#include "base/clock.h"

namespace quetzal {

/// A scheduled task. Destroying this object cancels the task.
class Timer {
 public:
  virtual ~Timer() = default;
};

/// Runs tasks one after another, never two at once, on any worker thread of the pool.
class Executor {
 public:
  virtual ~Executor() = default;

  /// Queues `task`; never runs it inside this call.
  virtual void Post(std::function<void()> task) = 0;

  /// Runs `task` once after `delay` unless the returned timer is destroyed first.
  virtual std::unique_ptr<Timer> After(Duration delay, std::function<void()> task) = 0;

  /// Runs `task` every `period` until the returned timer is destroyed.
  virtual std::unique_ptr<Timer> Every(Duration period, std::function<void()> task) = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_KERNEL_EXECUTOR_H_
