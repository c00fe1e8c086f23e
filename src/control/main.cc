#include <iostream>
#include <vector>

#include "base/event_log.h"
#include "base/result_code.h"
#include "configuration/configuration_check.h"
#include "control/control_program.h"
#include "control/peer_list.h"
#include "plugins/log_glog/glog_event_log.h"

namespace quetzal {
namespace {

std::vector<SettingSpec> Specs() {
  using K = SettingKind;
  return {
      {"instance", K::kText, "", "", 0, 0, true, "Name of this control instance."},
      {"data-centre", K::kText, "", "", 0, 0, true, "Data centre of this instance."},
      {"admin", K::kEndpoint, "address:port", "127.0.0.1:0", 0, 0, false,
       "Address of the operators' interface."},
      {"streams", K::kEndpoint, "address:port", "", 0, 0, true,
       "Address at which other instances reach this one."},
      {"peers", K::kText, "name=address:port,...", "", 0, 0, false,
       "Stream addresses of all control instances; this one may be included."},
      {"seeds", K::kEndpointList, "address:port", "", 0, 0, false,
       "Addresses of control instances, in place of --peers: each one is named by its IP "
       "number and reached at the ports of --streams and --gossip."},
      {"gossip", K::kEndpoint, "address:port", "", 0, 0, false,
       "Address for the membership of the fleet (UDP); empty: takes no part in it."},
      {"repair-group", K::kFlag, "", "false", 0, 0, false,
       "With --gossip: add new control instances to the group and remove dead and "
       "departed ones."},
      {"tolerated-losses", K::kInteger, "", "1", 0, 100, false,
       "Instances that may lose their data folders at once; decides how large "
       "--repair-group makes the group and keeps it."},
      {"orders", K::kEndpoint, "address:port", "", 0, 0, false,
       "Address for orders, which need no separate confirmation; empty: none are "
       "accepted."},
      {"order-interface", K::kText, "", "", 0, 0, false,
       "Name of the plug-in that reads the orders."},
      {"rollout-share", K::kRatio, "", "0.1", 0, 0, false,
       "Largest share of a service's requests that servers of a new version get during "
       "a rollout."},
      {"key-groups", K::kFlag, "", "true", 0, 0, false,
       "Keep groups of holders of idempotency keys."},
      {"bootstrap", K::kFlag, "", "false", 0, 0, false,
       "Found a new group when every control instance has an empty folder."},
      {"data-folder", K::kFolder, "", "", 0, 0, true, "Folder of the durable log."},
      {"log-file", K::kText, "", "", 0, 0, false,
       "File for the JSON lines; empty: standard error; -: standard output."},
      {"workers", K::kInteger, "", "2", 1, 64, false, "Worker threads."},
      {"proxy-lease-ms", K::kMillis, "ms", "8000", 1000, 600000, false,
       "Time without acknowledgements after which a proxy is no longer waited for; "
       "longer than their period."},
  };
}

/// Checks rules that SettingKind does not cover and fills `peers`. Returns the errors,
/// one a line; empty when there are none.
std::string CheckNames(const Settings& settings, std::map<std::string, Endpoint>* peers) {
  std::string problems;
  for (const char* name : {"instance", "data-centre"}) {
    if (IsLegalName(settings.Text(name))) continue;
    problems += std::string(name) + ": '" + settings.Text(name) +
                "' is not a name of a-z, 0-9, '-', '_' and '.'\n";
  }
  try {
    *peers = ParsePeers(settings.Text("peers"), settings.Text("instance"));
    for (const Endpoint& seed : settings.Addresses("seeds")) {
      if (seed.address == settings.Text("instance")) continue;
      (*peers)[seed.address] = {seed.address, settings.Address("streams").port};
    }
  } catch (const Error& error) {
    problems += std::string("peers: ") + error.what() + "\n";
  }
  return problems;
}

int Run(const Settings& settings, const std::map<std::string, Endpoint>& peers) {
  try {
    const SystemClock clock;
    HybridClock hybrid_clock(&clock);
    GlogEventLog events(
        {"quetzal-control", settings.Text("instance"), settings.Text("data-centre")},
        settings.Text("log-file"), &clock, &hybrid_clock);
    ControlProgram program(settings, peers, &clock, &hybrid_clock, &events);
    program.Start();
    program.RunUntilStopped();
    return kExitOk;
  } catch (const Error& error) {
    std::cerr << "quetzal-control: " << error.what() << " (" << InfoOf(error.code()).name
              << ")\n";
    return ExitCodeOf(error.code());
  }
}

}  // namespace
}  // namespace quetzal

int main(int argc, char* argv[]) {
  const quetzal::SettingsReader reader(
      "quetzal-control", "agrees on, keeps and distributes the configuration",
      quetzal::Specs());
  const auto outcome = reader.Read(argc, argv, quetzal::ProcessEnvironment());
  std::cout << outcome.output;
  std::cerr << outcome.errors;
  if (outcome.action == quetzal::StartAction::kExit) return outcome.exit_code;
  std::map<std::string, quetzal::Endpoint> peers;
  const std::string problems = quetzal::CheckNames(outcome.settings, &peers);
  if (!problems.empty()) {
    std::cerr << problems;
    return quetzal::kExitSettings;
  }
  return quetzal::Run(outcome.settings, peers);
}
