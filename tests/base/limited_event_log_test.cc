#include "base/limited_event_log.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace quetzal {
namespace {

/// Records the name and the first field's value of each event.
class RecordingEventLog final : public EventLog {
 public:
  void Emit(const Event& event) override {
    names.push_back(event.name +
                    (event.fields.empty() ? "" : " " + event.fields[0].second));
  }
  std::vector<std::string> names;
};

TEST(LimitedEventLogTest, EventsOfRequestsAreRateLimitedAndCounted) {
  ManualClock clock;
  RecordingEventLog recorded;
  LimitedEventLog log(&recorded, &clock, {"call.", 2, 3});
  for (int n = 0; n < 10; ++n) log.Emit({"call.refused", {}});
  log.Emit({"leader.elected", {}});
  EXPECT_EQ(recorded.names, (std::vector<std::string>{"call.refused", "call.refused",
                                                      "call.refused", "leader.elected"}));
  clock.Advance(std::chrono::seconds(1));
  recorded.names.clear();
  for (int n = 0; n < 3; ++n) log.Emit({"call.refused", {}});
  EXPECT_EQ(recorded.names, (std::vector<std::string>{"log.suppressed 7", "call.refused",
                                                      "call.refused"}));
}

}  // namespace
}  // namespace quetzal
