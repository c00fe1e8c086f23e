#include <unistd.h>

#include <iostream>
#include <thread>

#include "base/random.h"
#include "base/settings.h"
#include "ctl/ctl_session.h"
#include "ctl/stream_control_channel.h"
#include "kernel/runtime.h"
#include "net/stream_transport_registry.h"

namespace quetzal {
namespace {

std::vector<SettingSpec> Specs() {
  using K = SettingKind;
  return {
      {"control", K::kEndpointList, "address:port", "", 0, 0, true,
       "Operators' addresses of the control instances, tried in turn."},
      {"id", K::kText, "", "", 0, 0, false,
       "Id of the intent to declare, <number>-<text>; made when absent."},
      {"json", K::kFlag, "", "false", 0, 0, false, "Print JSON."},
      {"wait", K::kFlag, "", "false", 0, 0, false,
       "Wait until every live proxy holds the configuration (confirm, plan)."},
      {"wait-limit-ms", K::kMillis, "ms", "30000", 0, 3600000, false,
       "Longest time to wait with --wait."},
      {"answer-limit-ms", K::kMillis, "ms", "5000", 100, 600000, false,
       "Longest time to look for a control instance that can answer."},
  };
}

int Run(const Settings& settings) {
  CtlOptions options;
  options.control_instances = settings.Addresses("control");
  options.id = settings.Text("id");
  options.json = settings.Flag("json");
  options.wait = settings.Flag("wait");
  options.terminal = isatty(STDERR_FILENO) == 1;
  options.answer_limit = settings.Millis("answer-limit-ms");
  options.wait_limit = settings.Millis("wait-limit-ms");

  const auto runtime = RuntimeRegistry::Instance().Create("asio", 1);
  const auto transport =
      StreamTransportRegistry::Instance().Create("http1", runtime.get(), {});
  StreamControlChannel channel(transport.get());
  const SystemClock clock;
  Random random(SeedFromSystem());
  CtlSession session({&channel, &clock, &random,
                      [](Duration delay) { std::this_thread::sleep_for(delay); },
                      &std::cin, &std::cout, &std::cerr},
                     std::move(options));
  const int exit_code = session.Run(settings.arguments());
  runtime->Stop();
  return exit_code;
}

}  // namespace
}  // namespace quetzal

int main(int argc, char* argv[]) {
  const quetzal::SettingsReader reader(
      "quetzalctl",
      "declares, plans and confirms intents\n\nVerbs:\n" +
          quetzal::CtlSession::VerbHelp(),
      quetzal::Specs());
  const auto outcome = reader.Read(argc, argv, quetzal::ProcessEnvironment());
  std::cout << outcome.output;
  std::cerr << outcome.errors;
  if (outcome.action == quetzal::StartAction::kExit) return outcome.exit_code;
  return quetzal::Run(outcome.settings);
}
