#include "control/intent_events.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "control/control_fakes.h"

namespace quetzal {
namespace {

/// Records the names of events.
class NamesLog final : public EventLog {
 public:
  void Emit(const Event& event) override { names.push_back(event.name); }
  std::vector<std::string> names;
};

TEST(IntentEventsTest, ForwardsAllEventsAndKeepsTheLatestOfAnIntent) {
  ManualClock clock;
  NamesLog log;
  IntentEvents events(&log, &clock, 2);
  events.Emit({"intent.planned", {{"intent", "1-a"}}});
  events.Emit({"process.started", {}});
  events.Emit({"configuration.confirmed", {{"intent", ""}}});
  events.Emit({"intent.planned", {{"intent", "2-b"}}});
  events.Emit({"intent.done", {{"intent", "1-a"}}});
  EXPECT_EQ(log.names.size(), 5U);
  ASSERT_EQ(events.ForIntent("1-a").size(), 1U);
  EXPECT_EQ(events.ForIntent("1-a").front().event.name, "intent.done");
  EXPECT_EQ(events.ForIntent("1-a").front().wall, clock.WallNow());
  EXPECT_EQ(events.ForIntent("2-b").size(), 1U);
}

TEST(IntentEventsTest, AConfirmationIsLoggedBeforeTheConfigurationIsSent) {
  ManualClock clock;
  ManualExecutor executor(&clock);
  FakeLog log;
  std::map<Endpoint, FakeRpc*> network;
  ControlFixture control("control-1", {"127.0.0.1", 1}, &log, &network, {}, &clock,
                         &executor);
  control.agreement.view.leading = true;
  executor.Advance(std::chrono::seconds(10));
  std::size_t events_when_sent = 0;
  control.on_publish = [&] { events_when_sent = control.events.ForIntent("1-a").size(); };
  for (const char* path : {"/v1/intents", "/v1/intents/1-a/confirm"}) {
    AdminRequest request;
    request.method = "POST";
    request.path = path;
    request.query["id"] = "1-a";
    request.body = R"({"version": 1, "services": [{"name": "taller"}]})";
    control.api->Handle(request, [](const AdminResponse&) {});
    executor.Run();
  }
  std::vector<std::string> names;
  for (const TimedEvent& timed_event : control.events.ForIntent("1-a")) {
    names.push_back(timed_event.event.name);
  }
  EXPECT_THAT(names, testing::ElementsAre("intent.declared", "intent.planned",
                                          "configuration.confirmed", "intent.confirmed",
                                          "intent.done"));
  EXPECT_EQ(events_when_sent, 3U);
}

}  // namespace
}  // namespace quetzal
