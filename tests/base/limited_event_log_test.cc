#include "base/limited_event_log.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace quetzal {
namespace {

class NameLog final : public EventLog {
 public:
  void Emit(const Event& event) override {
    names.push_back(event.name +
                    (event.fields.empty() ? "" : " " + event.fields[0].second));
  }
  std::vector<std::string> names;
};

TEST(LimitedEventLogTest, EventsOfRequestsAreBoundedAndCounted) {
  ManualClock clock;
  NameLog names;
  LimitedEventLog log(&names, &clock, {"call.", 2, 3});
  for (int n = 0; n < 10; ++n) log.Emit({"call.refused", {}});
  log.Emit({"leader.elected", {}});
  EXPECT_EQ(names.names, (std::vector<std::string>{"call.refused", "call.refused",
                                                   "call.refused", "leader.elected"}));
  clock.Advance(std::chrono::seconds(1));
  names.names.clear();
  for (int n = 0; n < 3; ++n) log.Emit({"call.refused", {}});
  EXPECT_EQ(names.names, (std::vector<std::string>{"log.suppressed 7", "call.refused",
                                                   "call.refused"}));
}

}  // namespace
}  // namespace quetzal
