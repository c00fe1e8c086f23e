#ifndef QUETZAL_CALLS_LIVE_CALLS_H_
#define QUETZAL_CALLS_LIVE_CALLS_H_

#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace quetzal {

class CallerCall;

/// The calls of callers that have not ended. Thread-safe; its mutex is a leaf lock.
class LiveCalls {
 public:
  void Add(const std::shared_ptr<CallerCall>& call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    calls_.emplace(call.get(), call);
  }

  void Remove(const CallerCall* call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    calls_.erase(call);
  }

  std::vector<std::shared_ptr<CallerCall>> All() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::shared_ptr<CallerCall>> calls;
    for (const auto& [address, weak] : calls_) {
      if (auto call = weak.lock()) calls.push_back(std::move(call));
    }
    return calls;
  }

 private:
  mutable std::mutex mutex_;
  std::unordered_map<const CallerCall*, std::weak_ptr<CallerCall>> calls_;
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_LIVE_CALLS_H_
