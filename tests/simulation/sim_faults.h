#ifndef QUETZAL_TESTS_SIMULATION_SIM_FAULTS_H_
#define QUETZAL_TESTS_SIMULATION_SIM_FAULTS_H_

#include <functional>
#include <string>
#include <vector>

#include "simulation/sim_fleet.h"

namespace quetzal::simulation {

/// A kind of fault, with the actions that begin and end it.
struct FaultKind {
  std::string name;
  std::function<void(SimFleet*)> begin;
  std::function<void(SimFleet*)> end;
};

/// The node that is affected by the steps and by the faults of a single node.
inline SimFleet::Node* AffectedNode(SimFleet* fleet) {
  return fleet->NodeNamed("haro-4");
}

inline void RestartCrashed(SimFleet* fleet) {
  for (auto& control : fleet->controls) {
    if (control.publisher == nullptr) fleet->StartControl(&control);
  }
  for (auto& node : fleet->nodes) {
    if (node.distribution == nullptr && !node.left_for_good) fleet->StartNode(&node);
  }
}

inline void ResumeAll(SimFleet* fleet) {
  for (auto& node : fleet->nodes) {
    if (node.host->paused) fleet->world.Resume(node.host);
  }
  for (auto& control : fleet->controls) {
    if (control.host->paused) fleet->world.Resume(control.host);
  }
}

inline void EndAllFaults(SimFleet* fleet) {
  fleet->world.HealAll();
  ResumeAll(fleet);
  RestartCrashed(fleet);
}

inline void CrashRelays(SimFleet* fleet, std::size_t count) {
  for (std::size_t n = 0; n < count; ++n) {
    if (auto* relay = fleet->Relay("haro")) fleet->Crash(relay);
  }
}

inline void CutBothWays(SimFleet* fleet, const std::string& a, const std::string& b) {
  fleet->world.Cut(a, b);
  fleet->world.Cut(b, a);
}

inline std::vector<FaultKind> AllFaults() {
  const auto crash_if_up = [](SimFleet* fleet, SimFleet::Node* node) {
    if (node != nullptr && node->distribution != nullptr) fleet->Crash(node);
  };
  return {
      {"None", [](SimFleet*) {}, EndAllFaults},
      {"NodeCrash", [=](SimFleet* fleet) { crash_if_up(fleet, AffectedNode(fleet)); },
       EndAllFaults},
      {"NodeCrashAndRestart",
       [=](SimFleet* fleet) {
         crash_if_up(fleet, AffectedNode(fleet));
         if (!AffectedNode(fleet)->left_for_good) fleet->StartNode(AffectedNode(fleet));
       },
       EndAllFaults},
      {"RelayCrash", [](SimFleet* fleet) { CrashRelays(fleet, 1); }, EndAllFaults},
      {"AllRelaysCrash", [](SimFleet* fleet) { CrashRelays(fleet, 2); }, EndAllFaults},
      {"RelayCrashAfterRepair",
       [](SimFleet* fleet) {
         CrashRelays(fleet, 1);
         for (int n = 0; n < 100 && fleet->events["relay.started"] < 4; ++n) {
           fleet->world.Run(milliseconds(100));
         }
         CrashRelays(fleet, 1);
       },
       EndAllFaults},
      {"ControlCrash", [](SimFleet* fleet) { fleet->Crash(&fleet->controls[0]); },
       EndAllFaults},
      {"SourceOutage",
       [](SimFleet* fleet) {
         for (auto& control : fleet->controls) fleet->Crash(&control);
       },
       EndAllFaults},
      {"Cut",
       [](SimFleet* fleet) {
         CutBothWays(fleet, "haro", "logrono");
         CutBothWays(fleet, "haro", "cenicero");
       },
       EndAllFaults},
      {"CutOutbound",
       [](SimFleet* fleet) {
         fleet->world.Cut("haro", "logrono");
         fleet->world.Cut("haro", "cenicero");
       },
       EndAllFaults},
      {"CutInbound",
       [](SimFleet* fleet) {
         fleet->world.Cut("logrono", "haro");
         fleet->world.Cut("cenicero", "haro");
       },
       EndAllFaults},
      {"CutWithoutControl",
       [](SimFleet* fleet) {
         CutBothWays(fleet, "haro", "logrono");
         CutBothWays(fleet, "haro", "cenicero");
         fleet->Crash(&fleet->controls[0]);
       },
       EndAllFaults},
      {"ControlCutOff",
       [](SimFleet* fleet) {
         for (const char* other : {"control-1", "control-2"}) {
           CutBothWays(fleet, "control-0", other);
         }
       },
       EndAllFaults},
      {"NodeCutOneWay",
       [](SimFleet* fleet) {
         for (const char* other : {"haro", "logrono", "cenicero"}) {
           fleet->world.Cut("haro-4", other);
         }
       },
       EndAllFaults},
      {"NodePaused",
       [](SimFleet* fleet) { fleet->world.Pause(AffectedNode(fleet)->host); },
       EndAllFaults},
      {"RelayPaused",
       [](SimFleet* fleet) {
         if (auto* relay = fleet->Relay("haro")) fleet->world.Pause(relay->host);
       },
       EndAllFaults},
      {"ControlPaused",
       [](SimFleet* fleet) { fleet->world.Pause(fleet->controls[0].host); },
       EndAllFaults},
      {"Loss", [](SimFleet* fleet) { fleet->world.conditions.drop_share = 0.3; },
       EndAllFaults},
      {"Duplicated", [](SimFleet* fleet) { fleet->world.conditions.duplicate_share = 1; },
       EndAllFaults},
      {"DelayedAndReordered",
       [](SimFleet* fleet) {
         fleet->world.conditions.max_extra_delay = milliseconds(400);
       },
       EndAllFaults},
      {"DataCentreCrash",
       [=](SimFleet* fleet) {
         for (auto& node : fleet->nodes) {
           if (node.host->data_centre == "haro") crash_if_up(fleet, &node);
         }
       },
       EndAllFaults},
      {"AllNodesCrash",
       [=](SimFleet* fleet) {
         for (auto& node : fleet->nodes) crash_if_up(fleet, &node);
       },
       EndAllFaults},
      {"BadConfiguration", [](SimFleet* fleet) { fleet->Confirm(false); }, EndAllFaults},
      {"WallClockSetBack",
       [=](SimFleet* fleet) {
         fleet->world.clock.SkewWall(std::chrono::hours(-1));
         crash_if_up(fleet, AffectedNode(fleet));
       },
       EndAllFaults},
  };
}

/// Makes a node leave gracefully. Its process ends when Leave has completed.
inline void LeaveForGood(SimFleet* fleet, SimFleet::Node* node) {
  if (node == nullptr || node->distribution == nullptr) return;
  node->left_for_good = true;
  node->distribution->Leave([fleet, node] {
    fleet->world.Schedule(Duration{0}, nullptr, [fleet, node] {
      if (node->distribution != nullptr) fleet->Crash(node);
    });
  });
}

/// An operation of the fleet during which a fault strikes.
struct StepKind {
  std::string name;
  std::function<void(SimFleet*)> prepare;  ///< Runs before the fleet settles.
  std::function<void(SimFleet*)> run;
  Duration moment;  ///< Time after `run` at which the step is in progress.
};

inline std::vector<StepKind> AllSteps() {
  const auto nothing = [](SimFleet*) {};
  const auto confirm = [](SimFleet* fleet) { fleet->Confirm(); };
  const auto crash = [](SimFleet* fleet) { fleet->Crash(AffectedNode(fleet)); };
  const std::chrono::microseconds apply(1500);
  return {
      {"Announce",
       [](SimFleet* fleet) { fleet->Announce(AffectedNode(fleet), SERVER_NONE); },
       [](SimFleet* fleet) { fleet->Announce(AffectedNode(fleet), SERVER_UP); },
       milliseconds(100)},
      {"Withdraw", nothing,
       [](SimFleet* fleet) { fleet->Announce(AffectedNode(fleet), SERVER_NONE); },
       milliseconds(100)},
      {"Join", crash, [](SimFleet* fleet) { fleet->StartNode(AffectedNode(fleet)); },
       milliseconds(150)},
      {"Leave", nothing,
       [](SimFleet* fleet) { LeaveForGood(fleet, AffectedNode(fleet)); },
       milliseconds(300)},
      {"RelayLeave", nothing,
       [](SimFleet* fleet) { LeaveForGood(fleet, fleet->Relay("haro")); },
       milliseconds(300)},
      {"Distribute", nothing, confirm, Duration{0}},
      {"Apply", nothing, confirm, apply},
      {"Acknowledge", nothing, confirm, milliseconds(4)},
      {"Restart", nothing,
       [](SimFleet* fleet) {
         fleet->Confirm();
         fleet->world.Run(milliseconds(10));
         if (AffectedNode(fleet)->distribution != nullptr)
           fleet->Crash(AffectedNode(fleet));
         fleet->StartNode(AffectedNode(fleet));
       },
       milliseconds(50)},
  };
}

}  // namespace quetzal::simulation

#endif  // QUETZAL_TESTS_SIMULATION_SIM_FAULTS_H_
