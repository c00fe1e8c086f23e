#ifndef QUETZAL_TESTS_CALLS_CRASH_CLUSTER_H_
#define QUETZAL_TESTS_CALLS_CRASH_CLUSTER_H_

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "calls/sim_cluster.h"
#include "node/backend_server_monitor.h"

namespace quetzal {

/// A cluster whose backend servers crash while they run certain requests, and are back
/// after some seconds. Each node has a monitor of its server.
class CrashCluster {
 public:
  static constexpr Duration kDowntime = std::chrono::milliseconds(3400);
  static constexpr Duration kTimeToCrash = std::chrono::milliseconds(60);
  /// Until the other nodes know what one node has observed.
  static constexpr Duration kDissemination = std::chrono::milliseconds(500);

  explicit CrashCluster(int count) : cluster(count, 18), incarnations_(count) {
    for (Route& route : *cluster.configuration.mutable_routes()) {
      route.set_keyless(true);
      route.set_attempts(2);
      route.set_objective_ms(500);
    }
    cluster.on_request_cut = [this](std::size_t n, const CutRequest& cut) {
      monitors_[n]->RecordCut(cut);
    };
    cluster.on_trial_passed = [this](std::size_t n, const Acquittal& acquittal) {
      monitors_[n]->RecordTrialPassed(acquittal);
    };
    cluster.on_backend_unreachable = [this](std::size_t n) {
      monitors_[n]->MarkUnreachable();
    };
    for (int n = 0; n < count; ++n) {
      monitors_.push_back(std::make_unique<BackendServerMonitor>(
          std::chrono::hours(1), &cluster.loop.clock, cluster.nodes[n].events.get(),
          [this, n](const LocalBackendServer& server) { OnServer(n, server); }));
      SendHeartbeat(n);
      cluster.servers[n]->service_time = std::chrono::milliseconds(100);
      cluster.servers[n]->on_run = [this, n](const std::string& path,
                                             const std::string& body) {
        OnRun(n, path, body);
      };
    }
    cluster.Distribute();
  }

  void Run(Duration span) {
    constexpr Duration kPollPeriod = std::chrono::milliseconds(50);
    for (Duration done{}; done < span; done += kPollPeriod) {
      cluster.Run(std::min(kPollPeriod, span - done));
      for (const auto& monitor : monitors_) monitor->Tick();
    }
  }

  void EndServer(int n) {
    if (!ended_.insert(n).second) return;
    ++crashes;
    crashed_at.push_back(cluster.loop.clock.Now());
    cluster.EndServer(n);
    cluster.loop.Schedule(kDowntime, [this, n] {
      ended_.erase(n);
      cluster.StartServer(n);
      SendHeartbeat(n);
    });
  }

  /// The server says that it leaves and ends while requests run on it.
  void LeaveAndReplace(int n) {
    monitors_[n]->RecordLeave(IdOf(n));
    cluster.loop.Schedule(std::chrono::milliseconds(50), [this, n] {
      --crashes;
      EndServer(n);
    });
  }

  std::set<std::string> crashing_paths;
  std::vector<SteadyTime> crashed_at;
  std::vector<SteadyTime> crashing_runs;  ///< When a server began to run one of them.
  int crashes = 0;
  SimCluster cluster;

 private:
  std::string IdOf(int n) const {
    return "i-" + std::to_string(n) + "-" + std::to_string(incarnations_[n]);
  }

  void SendHeartbeat(int n) {
    ++incarnations_[n];
    ServerHeartbeat heartbeat;
    heartbeat.id = IdOf(n);
    heartbeat.service = "desk";
    heartbeat.address = cluster.nodes[n].backend;
    heartbeat.slots = 18;
    heartbeat.sequence = 1;
    heartbeat.start_time = std::chrono::duration_cast<std::chrono::milliseconds>(
        cluster.loop.clock.WallNow().time_since_epoch());
    monitors_[n]->RecordHeartbeat(heartbeat);
  }

  void OnServer(int n, const LocalBackendServer& server) {
    cluster.nodes[n].path->SetBackendServer(server);
    cluster.states[n] = server.state;
    cluster.loop.Schedule(kDissemination, [this] { Distribute(); });
  }

  void Distribute() {
    std::vector<CrashReport> reports;
    std::vector<Acquittal> acquittals;
    for (std::size_t n = 0; n < monitors_.size(); ++n) {
      const LocalBackendServer server = monitors_[n]->server();
      if (!server.observations) continue;
      for (const ServerCrash& crash : server.observations->crashes()) {
        reports.push_back(FromMessage(crash, cluster.nodes[n].name));
      }
      for (const CrashAcquittal& acquittal : server.observations->acquittals()) {
        acquittals.push_back(FromMessage(acquittal));
      }
    }
    cluster.crashing = std::make_shared<const CrashingRequests>(reports, acquittals);
    cluster.Distribute();
    const auto crashing = cluster.crashing;
    for (const auto& monitor : monitors_) monitor->RecordCrashingRequests(*crashing);
  }

  void OnRun(int n, const std::string& path, const std::string& body) {
    if (crashing_paths.count(path) == 0 && crashing_paths.count(body) == 0) return;
    crashing_runs.push_back(cluster.loop.clock.Now());
    cluster.loop.Schedule(kTimeToCrash, [this, n] { EndServer(n); });
  }

  std::vector<int> incarnations_;
  std::set<int> ended_;
  std::vector<std::unique_ptr<BackendServerMonitor>> monitors_;
};

}  // namespace quetzal

#endif  // QUETZAL_TESTS_CALLS_CRASH_CLUSTER_H_
