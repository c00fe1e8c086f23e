#ifndef QUETZAL_CALLS_SERIAL_QUEUE_H_
#define QUETZAL_CALLS_SERIAL_QUEUE_H_

#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace quetzal {

/// Runs tasks one after another on the threads that submit them. A task submitted while
/// another one runs is queued and run by that thread. No lock is held while a task runs,
/// so a task may submit further tasks.
class SerialQueue {
 public:
  template <class Task>
  void Run(Task&& task) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (running_) {
        waiting_.emplace_back(std::forward<Task>(task));
        return;
      }
      running_ = true;
    }
    task();
    RunWaiting();
  }

 private:
  void RunWaiting() {
    for (;;) {
      std::function<void()> task;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (waiting_.empty()) {
          running_ = false;
          return;
        }
        task = std::move(waiting_.front());
        waiting_.pop_front();
      }
      task();
    }
  }

  std::mutex mutex_;
  bool running_ = false;
  std::deque<std::function<void()>> waiting_;
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_SERIAL_QUEUE_H_
