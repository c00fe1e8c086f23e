#ifndef QUETZAL_TESTS_SIMULATION_SIM_WORLD_H_
#define QUETZAL_TESTS_SIMULATION_SIM_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "base/settings.h"

namespace quetzal::simulation {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A simulated process, which the test may crash or pause.
struct Host {
  std::string name;
  std::string data_centre;
  Endpoint stream;
  Endpoint gossip;
  bool up = false;
  bool paused = false;
  std::uint64_t process_generation = 0;        ///< Incremented when the process ends.
  std::vector<std::function<void()>> backlog;  ///< Tasks that fell due during a pause.
};

/// Faults that apply to all messages.
struct LinkConditions {
  double drop_share = 0;        ///< Share of datagrams and requests lost.
  double duplicate_share = 0;   ///< Share of datagrams delivered twice.
  Duration max_extra_delay{0};  ///< Limit of a random delay; reorders datagrams.
};

/// Hosts, time and links of a simulated fleet. Runs in one thread on a manual clock; the
/// seed determines the whole run.
class SimWorld {
 public:
  explicit SimWorld(std::uint64_t seed) : random(seed) {}

  Host* Add(const std::string& name, const std::string& data_centre) {
    auto host = std::make_unique<Host>();
    const auto n = static_cast<int>(hosts_.size());
    const std::string ip =
        "127.1." + std::to_string(n / 200) + "." + std::to_string(n % 200 + 1);
    host->name = name;
    host->data_centre = data_centre;
    host->stream = {ip, 8000};
    host->gossip = {ip, 7000};
    hosts_.push_back(std::move(host));
    by_ip_[ip] = hosts_.back().get();
    return hosts_.back().get();
  }

  Host* HostAt(const Endpoint& endpoint) const {
    auto it = by_ip_.find(endpoint.address);
    return it == by_ip_.end() ? nullptr : it->second;
  }

  /// Runs `task` after `delay` unless the process of the host has ended by then. A null
  /// host never ends.
  void Schedule(Duration delay, Host* host, std::function<void()> task) {
    queue_.push({clock.Now() + delay, next_++, host,
                 host == nullptr ? 0 : host->process_generation, std::move(task)});
  }

  void Run(Duration span) {
    const SteadyTime end = clock.Now() + span;
    while (!queue_.empty() && queue_.top().at <= end) {
      Item item = queue_.top();
      queue_.pop();
      if (item.at > clock.Now()) clock.Advance(item.at - clock.Now());
      Execute(&item);
    }
    if (end > clock.Now()) clock.Advance(end - clock.Now());
  }

  void Pause(Host* host) { host->paused = true; }
  void Resume(Host* host) {
    host->paused = false;
    auto backlog = std::exchange(host->backlog, {});
    for (auto& task : backlog) Schedule(Duration{0}, host, std::move(task));
  }
  void Kill(Host* host) {
    host->up = false;
    host->paused = false;
    host->backlog.clear();
    ++host->process_generation;
  }

  /// Blocks messages from one data centre or host to another, in that direction only.
  /// Datagrams and requests are lost; messages of open channels wait for HealAll.
  void Cut(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
  void HealAll() {
    cuts_.clear();
    conditions = LinkConditions();
  }
  bool Passes(const Host& from, const Host& to) const {
    for (const std::string& a : {from.name, from.data_centre}) {
      for (const std::string& b : {to.name, to.data_centre}) {
        if (cuts_.count({a, b}) != 0) return false;
      }
    }
    return true;
  }

  /// Sets the latency between two data centres in either direction.
  void SetDelay(const std::string& a, const std::string& b, Duration one_way) {
    delays_[{a, b}] = one_way;
    delays_[{b, a}] = one_way;
  }

  Duration Latency(const Host& from, const Host& to) {
    Duration base = from.data_centre == to.data_centre
                        ? Duration(std::chrono::microseconds(200))
                        : Duration(std::chrono::microseconds(1200));
    auto it = delays_.find({from.data_centre, to.data_centre});
    if (it != delays_.end()) base = it->second;
    return base +
           Duration(static_cast<Duration::rep>(
               random.Unit() *
               static_cast<double>((base / 4 + conditions.max_extra_delay).count())));
  }

  ManualClock clock;
  Random random;
  LinkConditions conditions;
  std::uint64_t datagram_bytes = 0;
  std::uint64_t stream_bytes = 0;

 private:
  struct Item {
    SteadyTime at;
    std::uint64_t order;
    Host* host;
    std::uint64_t process_generation;
    std::function<void()> task;
    bool operator<(const Item& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void Execute(Item* item) {
    Host* host = item->host;
    if (host == nullptr) return item->task();
    if (host->process_generation != item->process_generation) return;
    if (host->paused) return host->backlog.push_back(std::move(item->task));
    item->task();
  }

  std::vector<std::unique_ptr<Host>> hosts_;
  std::map<std::string, Host*> by_ip_;
  std::priority_queue<Item> queue_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::map<std::pair<std::string, std::string>, Duration> delays_;
  std::uint64_t next_ = 0;
};

}  // namespace quetzal::simulation

#endif  // QUETZAL_TESTS_SIMULATION_SIM_WORLD_H_
