// Simulates the membership protocol alone, with a manual clock and without sockets, and
// prints traffic, detection times and memory for each number of nodes. A datagram takes
// 1 ms and counts 28 bytes of IP and UDP headers.
// Usage: membership_bench [--json FILE] [--nodes 12,100,400,1400]
#include <cstdint>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <memory>
#include <queue>
#include <sstream>
#include <string>
#include <tuple>
#include <vector>

#include "membership/membership.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kHeaderBytes = 28;
constexpr std::size_t kSmallFleet = 50;

struct Event {
  SteadyTime at;
  std::uint64_t sequence = 0;
  std::size_t node = 0;
  std::string bytes;  ///< Empty: a tick.
  Endpoint from;
  bool operator<(const Event& other) const {
    return std::tie(at, sequence) > std::tie(other.at, other.sequence);
  }
};

class Fleet {
 public:
  explicit Fleet(std::size_t count) : random_(1) {
    const std::size_t data_centres = count < kSmallFleet ? 3 : 11;
    for (std::size_t n = 0; n < count; ++n) {
      Member self;
      self.set_instance("node-" + std::to_string(n));
      self.set_data_centre("dc-" + std::to_string(n % data_centres));
      self.set_incarnation(1'750'000'000'000'000'000ULL + n);
      self.set_gossip_address(AddressOf(n).ToString());
      self.set_stream_address("127.0.0.1:8000");
      self.mutable_server()->set_service("service-" + std::to_string(n % 10));
      self.mutable_server()->set_slots(20);
      self.mutable_server()->set_state(SERVER_UP);
      nodes_.push_back(std::make_unique<Membership>(
          MembershipSettings(), self, std::vector<Endpoint>{}, &clock_, &random_));
      up_.push_back(true);
      Push(random_.Below(Duration(milliseconds(100))), n, "", {});
    }
    // After two rounds of table exchanges every node knows all others, as after a join.
    for (int round = 0; round < 2; ++round) {
      for (std::size_t n = 1; n < count; ++n) Exchange(n, 0);
    }
  }

  void Run(Duration span, const std::function<bool()>& done = nullptr) {
    const SteadyTime end = clock_.Now() + span;
    SteadyTime next_check = clock_.Now();
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      clock_.Advance(event.at - clock_.Now());
      if (up_[event.node]) Process(event);
      if (done == nullptr || clock_.Now() < next_check) continue;
      next_check = clock_.Now() + milliseconds(20);
      if (done()) return;
    }
  }

  bool AllNodesSee(std::size_t member_index,
                   const std::function<bool(const Member&)>& test) {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (!up_[n] || n == member_index) continue;
      const auto* entry = nodes_[n]->table().Find("node-" + std::to_string(member_index));
      if (entry == nullptr || !test(entry->member)) return false;
    }
    return true;
  }

  /// The number of crashes that a node knows.
  std::size_t CrashesKnown(std::size_t n) const {
    std::size_t known = 0;
    for (const auto& [name, entry] : nodes_[n]->table().entries()) {
      known +=
          static_cast<std::size_t>(entry.member.server().observations().crashes_size());
    }
    return known;
  }
  bool AllNodesKnowCrashes(std::size_t count) const {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (up_[n] && CrashesKnown(n) < count) return false;
    }
    return true;
  }

  /// The node's server crashes with all its slots busy.
  void Crash(std::size_t n) {
    constexpr std::uint64_t kRunning = 18;
    BackendServer server = nodes_[n]->self().server();
    ServerCrash* crash = server.mutable_observations()->add_crashes();
    crash->set_id(random_.Next());
    for (std::uint64_t request = 0; request < kRunning; ++request) {
      crash->add_heads(static_cast<std::uint32_t>(random_.Next()));
      crash->add_digests(random_.Next());
    }
    nodes_[n]->SetServer(server);
  }

  std::size_t MemoryPerMember() const {
    std::size_t bytes = 0;
    for (const auto& [name, entry] : nodes_[0]->table().entries()) {
      bytes += MemberTable::BytesOf(entry);
    }
    return bytes / nodes_[0]->table().entries().size();
  }

  Membership& node(std::size_t n) { return *nodes_[n]; }
  void Kill(std::size_t n) { up_[n] = false; }
  double MillisSince(SteadyTime start) const {
    return std::chrono::duration<double, std::milli>(clock_.Now() - start).count();
  }
  SteadyTime now() const { return clock_.Now(); }
  std::uint64_t bytes = 0;
  std::uint64_t exchange_bytes = 0;

 private:
  static Endpoint AddressOf(std::size_t n) {
    return {"127.0." + std::to_string(n / 250) + "." + std::to_string(n % 250 + 1), 7000};
  }
  static std::size_t NodeAt(const Endpoint& endpoint) {
    const std::size_t dot = endpoint.address.rfind('.');
    const std::size_t previous_dot = endpoint.address.rfind('.', dot - 1);
    const auto high =
        std::stoul(endpoint.address.substr(previous_dot + 1, dot - previous_dot - 1));
    return high * 250 + std::stoul(endpoint.address.substr(dot + 1)) - 1;
  }

  void Push(Duration delay, std::size_t node, std::string datagram,
            const Endpoint& from) {
    events_.push(
        {clock_.Now() + delay, next_sequence_++, node, std::move(datagram), from});
  }
  void Exchange(std::size_t a, std::size_t b) {
    TableExchange request;
    request.set_sender(nodes_[a]->self().instance());
    for (std::uint64_t digest : nodes_[a]->table().buckets()) {
      request.add_bucket_digests(digest);
    }
    *request.add_members() = nodes_[a]->self();
    nodes_[a]->OnExchangeReply({}, nodes_[b]->OnExchange(request.SerializeAsString()));
    nodes_[a]->TakeActions();
  }
  void Process(const Event& event) {
    Membership& node = *nodes_[event.node];
    if (event.bytes.empty()) {
      node.Tick();
      Push(milliseconds(100), event.node, "", {});
    } else {
      node.OnDatagram(event.from, event.bytes);
    }
    for (MembershipAction& action : node.TakeActions()) {
      if (action.kind == MembershipAction::Kind::kExchange) {
        exchange_bytes += action.bytes.size();
        continue;
      }
      bytes += action.bytes.size() + kHeaderBytes;
      Push(milliseconds(1), NodeAt(action.to), std::move(action.bytes),
           AddressOf(event.node));
    }
  }

  ManualClock clock_;
  Random random_;
  std::vector<std::unique_ptr<Membership>> nodes_;
  std::vector<bool> up_;
  std::priority_queue<Event> events_;
  std::uint64_t next_sequence_ = 0;
};

std::string Text(double value) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(1) << value;
  return text.str();
}

/// One crash, then a hundred within a second. Returns fields for the report.
std::vector<std::pair<std::string, std::string>> MeasureCrashes(std::size_t count,
                                                                double idle) {
  constexpr std::size_t kCrashes = 100;
  // Two crashes show a cause.
  constexpr std::size_t kCrashesOfACause = 2;
  Fleet fleet(count);
  fleet.Run(seconds(20));
  const auto size = static_cast<double>(count);
  const auto added_bytes = [&](std::uint64_t before, double elapsed_s) {
    return Text(static_cast<double>(fleet.bytes - before) / size - idle * elapsed_s);
  };
  std::uint64_t before = fleet.bytes;
  SteadyTime start = fleet.now();
  fleet.Crash(0);
  fleet.Run(seconds(60), [&] { return fleet.AllNodesKnowCrashes(1); });
  const double one_ms = fleet.MillisSince(start);
  fleet.Run(seconds(20));
  const std::string one_bytes = added_bytes(before, fleet.MillisSince(start) / 1000);

  before = fleet.bytes;
  start = fleet.now();
  std::size_t crashes = 1;
  for (; crashes <= kCrashes && crashes < count; ++crashes) {
    fleet.Crash(crashes);
    if (crashes % 10 == 0) fleet.Run(milliseconds(100));
  }
  fleet.Run(seconds(60), [&] { return fleet.AllNodesKnowCrashes(1 + kCrashesOfACause); });
  const double cause_ms = fleet.MillisSince(start);
  fleet.Run(seconds(120), [&] { return fleet.AllNodesKnowCrashes(crashes); });
  const double all_ms = fleet.MillisSince(start);
  fleet.Run(seconds(60));
  return {{"crash_known_ms", Text(one_ms)},
          {"crash_bytes_node", one_bytes},
          {"crashes", std::to_string(crashes - 1)},
          {"two_known_ms", Text(cause_ms)},
          {"all_known_ms", Text(all_ms)},
          {"crashes_bytes_node", added_bytes(before, fleet.MillisSince(start) / 1000)},
          {"crash_memory_member", std::to_string(fleet.MemoryPerMember())}};
}

std::string Measure(std::size_t count) {
  Fleet fleet(count);
  fleet.Run(seconds(20));
  const auto size = static_cast<double>(count);
  std::uint64_t bytes_before = fleet.bytes;
  fleet.Run(seconds(30));
  const double idle = static_cast<double>(fleet.bytes - bytes_before) / size / 30;

  bytes_before = fleet.bytes;
  SteadyTime start = fleet.now();
  fleet.node(1).Leave(false);
  fleet.Run(seconds(20), [&] {
    return fleet.AllNodesSee(
        1, [](const Member& member) { return member.state() == MEMBER_LEAVING; });
  });
  const double leaving_ms = fleet.MillisSince(start);
  fleet.Run(seconds(10));
  const double elapsed_s = fleet.MillisSince(start) / 1000;
  const double update_bytes =
      static_cast<double>(fleet.bytes - bytes_before) / size - idle * elapsed_s;

  start = fleet.now();
  fleet.Kill(2);
  fleet.Run(seconds(60), [&] {
    return fleet.AllNodesSee(
        2, [](const Member& member) { return member.state() == MEMBER_DEAD; });
  });
  const double dead_ms = fleet.MillisSince(start);

  std::vector<std::pair<std::string, std::string>> fields = {
      {"nodes", std::to_string(count)},
      {"idle_bytes_s_node", Text(idle)},
      {"news_bytes_node", Text(update_bytes)},
      {"leaving_known_ms", Text(leaving_ms)},
      {"death_known_ms", Text(dead_ms)},
      {"memory_member", std::to_string(fleet.MemoryPerMember())}};
  const auto crashes = MeasureCrashes(count, idle);
  fields.insert(fields.end(), crashes.begin(), crashes.end());
  std::string json;
  for (const auto& [name, value] : fields) {
    std::cout << std::setw(28) << name + "=" + value;
    json += (json.empty() ? "{\"" : ", \"") + name + "\": " + value;
  }
  std::cout << std::endl;
  return json + "}";
}

int Main(int argc, char** argv) {
  std::string json;
  std::string sizes = "12,100,400,1400";
  for (int n = 1; n + 1 < argc; n += 2) {
    const std::string flag = argv[n];
    if (flag == "--json") json = argv[n + 1];
    if (flag == "--nodes") sizes = argv[n + 1];
  }
  std::string rows;
  std::istringstream stream(sizes);
  for (std::string part; std::getline(stream, part, ',');) {
    rows += (rows.empty() ? "  " : ",\n  ") + Measure(std::stoul(part));
  }
  if (!json.empty()) std::ofstream(json) << "[\n" << rows << "\n]\n";
  return 0;
}

}  // namespace
}  // namespace quetzal

int main(int argc, char** argv) { return quetzal::Main(argc, argv); }
