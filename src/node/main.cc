#include <iostream>

#include "base/clock.h"
#include "base/hybrid_clock.h"
#include "base/limited_event_log.h"
#include "base/result_code.h"
#include "node/node.h"
#include "node/node_settings.h"
#include "plugins/log_glog/glog_event_log.h"

namespace quetzal {
namespace {

int Run(const Settings& settings) {
  const SystemClock clock;
  HybridClock hybrid_clock(&clock);
  GlogEventLog events(
      {"quetzal-node", settings.Text("instance"), settings.Text("data-centre")},
      settings.Text("log-file"), &clock, &hybrid_clock);
  LimitedEventLog limited(&events, &clock, {});
  Node node(settings, &clock, &hybrid_clock, &limited);
  std::cout << node.Addresses() << std::endl;
  node.WaitForStopSignal();
  const std::uint64_t cut = node.Stop();
  if (node.failure() != ResultCode::kOk) {
    throw Error(node.failure(), std::string(InfoOf(node.failure()).meaning));
  }
  if (cut == 0) return kExitOk;
  std::cerr << cut << " requests were cut off at the drain limit\n";
  return kExitFailure;
}

}  // namespace
}  // namespace quetzal

int main(int argc, char* argv[]) {
  const auto outcome =
      quetzal::NodeSettingsReader().Read(argc, argv, quetzal::ProcessEnvironment());
  std::cout << outcome.output;
  std::cerr << outcome.errors;
  if (outcome.action == quetzal::StartAction::kExit) return outcome.exit_code;
  try {
    return quetzal::Run(outcome.settings);
  } catch (const quetzal::Error& error) {
    std::cerr << "quetzal-node: " << error.what() << "\n";
    return quetzal::ExitCodeOf(error.code());
  }
}
