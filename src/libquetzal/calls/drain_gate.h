#ifndef QUETZAL_CALLS_DRAIN_GATE_H_
#define QUETZAL_CALLS_DRAIN_GATE_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <utility>

namespace quetzal {

/// Counts calls in flight; after Drain() it refuses new ones and reports the end of the
/// last one. Safe for use from several threads.
class DrainGate {
 public:
  /// Counts one more call. False while draining: the call is not counted and must be
  /// refused.
  bool Enter() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (draining_) return false;
    ++active_calls_;
    return true;
  }

  void Leave() {
    std::function<void()> done;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      --active_calls_;
      if (active_calls_ == 0) done = std::exchange(done_, nullptr);
    }
    if (done) done();
  }

  /// Refuses new calls; `done` is called once when none is active, possibly in this call.
  void Drain(std::function<void()> done) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      draining_ = true;
      if (active_calls_ > 0) {
        done_ = std::move(done);
        return;
      }
    }
    done();
  }

  bool draining() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return draining_;
  }

  std::uint64_t active_calls() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return active_calls_;
  }

 private:
  mutable std::mutex mutex_;
  bool draining_ = false;
  std::uint64_t active_calls_ = 0;
  std::function<void()> done_;
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_DRAIN_GATE_H_
