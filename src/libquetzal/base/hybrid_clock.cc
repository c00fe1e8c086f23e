#include "base/hybrid_clock.h"

#include <algorithm>
#include <charconv>
#include <tuple>

#include "base/result_code.h"

namespace quetzal {

std::string HybridTime::ToString() const {
  return std::to_string(micros) + "." + std::to_string(counter);
}

bool operator<(const HybridTime& a, const HybridTime& b) {
  return std::tie(a.micros, a.counter) < std::tie(b.micros, b.counter);
}

bool operator==(const HybridTime& a, const HybridTime& b) {
  return a.micros == b.micros && a.counter == b.counter;
}

HybridTime ParseHybridTime(const std::string& text) {
  HybridTime time;
  const char* end = text.data() + text.size();
  auto [dot, ec] = std::from_chars(text.data(), end, time.micros);
  if (ec == std::errc() && dot != end && *dot == '.') {
    auto [last, ec2] = std::from_chars(dot + 1, end, time.counter);
    if (ec2 == std::errc() && last == end) return time;
  }
  throw Error(ResultCode::kMessageMalformed,
              "not a hybrid time (micros.counter): " + text);
}

HybridTime HybridClock::Tick() {
  std::lock_guard<std::mutex> lock(mutex_);
  return AdvanceLocked(last_);
}

HybridTime HybridClock::Observe(const HybridTime& remote) {
  std::lock_guard<std::mutex> lock(mutex_);
  return AdvanceLocked(std::max(last_, remote));
}

HybridTime HybridClock::AdvanceLocked(const HybridTime& floor) {
  const auto wall = std::chrono::duration_cast<std::chrono::microseconds>(
      clock_->WallNow().time_since_epoch());
  const auto micros = static_cast<std::uint64_t>(std::max<std::int64_t>(0, wall.count()));
  if (micros > floor.micros) {
    last_ = {micros, 0};
  } else {
    last_ = {floor.micros, floor.counter + 1};
  }
  return last_;
}

}  // namespace quetzal
