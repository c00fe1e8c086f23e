#include "control/explanation.h"

#include <chrono>
#include <map>

#include "base/concat.h"
#include "configuration/named_list.h"
#include "configuration/route_change.h"
#include "control/convergence_text.h"

namespace quetzal {
namespace {

constexpr std::size_t kMaxListed = 20;

using Sentences = std::vector<std::string>;

bool Uses(const Route& route, const std::string& service) {
  for (const Target& target : route.targets()) {
    if (target.service() == service) return true;
  }
  return false;
}

std::string ExplainRoute(const Route& route) {
  std::string text =
      Concat("By the route ", route.name(), ", ", DescribeTraffic(route),
             ". An answer may take ",
             DescribeSeconds(std::chrono::milliseconds(route.timeout_ms())), ".");
  text += route.idempotent()
              ? " A request without an answer may be sent again; that does no harm."
              : " A request is carried out at most once, even if its caller sends it "
                "again with the same key.";
  if (route.priority() > 0) {
    text += Concat(" When too many requests come, it gives way to routes with a ",
                   "priority below ", route.priority(), ".");
  }
  return text;
}

void ExplainRoutes(const std::string& service, const Configuration& configuration,
                   Sentences* sentences) {
  std::size_t n = 0;
  for (const Route& route : configuration.routes()) {
    if (!Uses(route, service)) continue;
    ++n;
    sentences->push_back(ExplainRoute(route));
  }
  if (n == 0) {
    sentences->push_back(Concat("No route leads to ", service, "."));
  } else {
    sentences->push_back(
        "Where several routes fit a request, the one with the longest path decides.");
  }
}

std::string ExplainChoice(const Policy& policy) {
  const std::string& name = policy.load_policy();
  const bool by_load =
      name.empty() || name == "two_choices" || name == "least_outstanding";
  return Concat("A request is answered in the data centre where it arrives, by a server ",
                by_load ? "with few requests under way"
                        : Concat("that the load policy ", name, " chooses"),
                "; if no server there has room, another data centre answers it.");
}

void ExplainServers(const std::string& service, const Configuration& configuration,
                    const std::vector<LiveInstance>& live_instances,
                    Sentences* sentences) {
  std::map<std::string, std::vector<std::string>> by_data_centre;
  std::vector<std::string> leaving;
  for (const LiveInstance& live_instance : live_instances) {
    if (live_instance.service != service) continue;
    if (Contains(configuration.leaving(), live_instance.instance)) {
      leaving.push_back(live_instance.instance);
    } else {
      by_data_centre[live_instance.data_centre].push_back(live_instance.instance);
    }
  }
  for (const auto& [data_centre, instances] : by_data_centre) {
    std::string names;
    for (const std::string& name : instances)
      names += Concat(names.empty() ? "" : ", ", name);
    sentences->push_back(
        Concat("In ", data_centre, ", ", service, " runs at ", names, "."));
  }
  for (const std::string& name : leaving) {
    sentences->push_back(Concat(name, " gets no new requests, since it is leaving."));
  }
  if (by_data_centre.empty()) {
    sentences->push_back(Concat("No backend server of ", service,
                                " takes requests now, so they are refused."));
    return;
  }
  for (const std::string& name : configuration.data_centres()) {
    if (by_data_centre.count(name) > 0) continue;
    sentences->push_back(Concat("No backend server of ", service, " takes requests in ",
                                name, ", so other data centres answer its requests."));
  }
  sentences->push_back(ExplainChoice(configuration.policy()));
}

template <class List, class Describe>
void AddLimited(const List& list, const Describe& describe, Sentences* sentences) {
  std::size_t n = 0;
  for (const auto& entry : list) {
    if (n++ == kMaxListed) {
      sentences->push_back(Concat("And ", list.size() - kMaxListed, " more."));
      return;
    }
    sentences->push_back(describe(entry));
  }
}

std::string ExplainWaiting(const TrackedProxy& proxy, SteadyTime now) {
  const ProxyAck& ack = proxy.ack;
  if (ack.refused_code != ResultCode::kOk) {
    return Concat("The node ", ack.instance, " in ", ack.data_centre,
                  " refused configuration ", ack.refused.index(), " with code ",
                  static_cast<int>(ack.refused_code), " (", InfoOf(ack.refused_code).name,
                  "); the page of result codes says what to do.");
  }
  return Concat("The node ", ack.instance, " in ", ack.data_centre,
                " has not reported that it uses it. Its last report came ",
                DescribeSeconds(now - proxy.last_report), " ago, with configuration ",
                ack.applied_version.index(), ".");
}

std::string ExplainCutOff(const UnresponsiveDataCentre& centre) {
  return Concat("No node of ", centre.name, " has reported for ",
                DescribeSeconds(centre.unresponsive_for),
                ". The data centre may be cut off: then it continues with the "
                "configuration that it has, and the change ",
                "reaches it when the connection is back.");
}

std::string ExplainUnresponsive(const TrackedProxy& proxy, SteadyTime now) {
  return Concat("The node ", proxy.ack.instance, " in ", proxy.ack.data_centre,
                " has not reported for ", DescribeSeconds(now - proxy.last_report),
                " and is not waited for: it has to fetch the change before it takes ",
                "requests again.");
}

}  // namespace

std::vector<std::string> ExplainService(const std::string& service,
                                        const Configuration& configuration,
                                        const std::vector<LiveInstance>& live_instances) {
  Sentences sentences;
  bool known = false;
  for (const Service& entry : configuration.services()) {
    if (!service.empty() && entry.name() != service) continue;
    known = true;
    ExplainRoutes(entry.name(), configuration, &sentences);
    ExplainServers(entry.name(), configuration, live_instances, &sentences);
  }
  if (!known) {
    sentences.push_back(service.empty() ? "No service is declared yet."
                                        : Concat("No service is called ", service, "."));
  }
  return sentences;
}

std::vector<std::string> ExplainConvergence(const Version& version,
                                            const ConvergenceReport& report,
                                            SteadyTime now) {
  Sentences sentences;
  const std::string name = Concat("Configuration ", version.index());
  if (report.done) {
    sentences.push_back(Concat(
        name, " is active everywhere: all ", report.live, " nodes use it",
        report.convergence_time ? Concat(", ", DescribeSeconds(*report.convergence_time),
                                         " after it was confirmed")
                                : "",
        "."));
  } else {
    sentences.push_back(Concat(
        name,
        report.was_done ? " was active everywhere, but nodes restarted or joined since: "
                        : " is not yet active everywhere: ",
        report.acknowledged, " of ", report.live, " live nodes use it."));
    AddLimited(
        report.waiting,
        [&](const TrackedProxy& proxy) { return ExplainWaiting(proxy, now); },
        &sentences);
    AddLimited(report.cut_off, ExplainCutOff, &sentences);
    if (report.leader_wait > Duration(0)) {
      sentences.push_back(
          Concat("The leading control instance took over a moment ago and waits ",
                 DescribeSeconds(report.leader_wait),
                 " more for nodes that have not reported to it yet."));
    }
  }
  AddLimited(
      report.unresponsive,
      [&](const TrackedProxy& proxy) { return ExplainUnresponsive(proxy, now); },
      &sentences);
  return sentences;
}

}  // namespace quetzal
