#include "control/convergence_text.h"

#include <cstdio>

#include "base/concat.h"

namespace quetzal {
namespace {

constexpr std::size_t kMaxListed = 20;

using Sentences = std::vector<std::string>;

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

std::string DescribeDone(const Version& version, const ConvergenceReport& report) {
  std::string text = Concat("Done: all ", report.live,
                            " live proxies hold configuration ", version.index());
  if (report.convergence_time) {
    text += Concat(", ", DescribeSeconds(*report.convergence_time),
                   " after it was confirmed");
  }
  return text + ".";
}

std::string DescribePending(const Version& version, const ConvergenceReport& report) {
  return Concat(report.was_done ? "Pending again, since proxies restarted or joined: "
                                : "Pending: ",
                report.acknowledged, " of ", report.live,
                " live proxies hold configuration ", version.index(), ".");
}

std::string DescribeWaiting(const TrackedProxy& proxy, SteadyTime now) {
  std::string text =
      Concat(proxy.ack.instance, " in ", proxy.ack.data_centre,
             " has not acknowledged it; its last report came ",
             DescribeSeconds(now - proxy.last_report), " ago, with configuration ",
             proxy.ack.applied_version.index());
  if (proxy.ack.refused_code != ResultCode::kOk) {
    text += Concat("; it refused configuration ", proxy.ack.refused.index(), " with ",
                   InfoOf(proxy.ack.refused_code).name);
  }
  return text + ".";
}

std::string DescribeCutOff(const UnresponsiveDataCentre& centre) {
  if (centre.proxies == 0) {
    return Concat("No proxy of ", centre.name, " has reported to this leader for ",
                  DescribeSeconds(centre.unresponsive_for), ".");
  }
  return Concat("None of the ", centre.proxies, " proxies of ", centre.name,
                " has reported for ", DescribeSeconds(centre.unresponsive_for),
                "; the data centre may be cut off, and continues with the configuration "
                "that it has.");
}

std::string DescribeUnresponsive(const TrackedProxy& proxy, SteadyTime now) {
  return Concat(proxy.ack.instance, " in ", proxy.ack.data_centre,
                " has not reported for ", DescribeSeconds(now - proxy.last_report),
                " and is not waited for; it fetches the configuration before it serves "
                "requests again.");
}

}  // namespace

std::string DescribeSeconds(Duration duration) {
  char buf[32];
  std::snprintf(buf, sizeof buf, "%.3f s",
                std::chrono::duration<double>(duration).count());
  return buf;
}

std::vector<std::string> DescribeConvergence(const Version& version,
                                             const ConvergenceReport& report,
                                             SteadyTime now) {
  Sentences sentences;
  sentences.push_back(report.done ? DescribeDone(version, report)
                                  : DescribePending(version, report));
  AddLimited(
      report.waiting,
      [&](const TrackedProxy& proxy) { return DescribeWaiting(proxy, now); }, &sentences);
  if (!report.done) {
    AddLimited(report.cut_off, DescribeCutOff, &sentences);
    if (report.leader_wait > Duration(0)) {
      sentences.push_back(Concat("The leader is new and waits ",
                                 DescribeSeconds(report.leader_wait),
                                 " more for proxies that have not reported to it yet."));
    }
  }
  AddLimited(
      report.unresponsive,
      [&](const TrackedProxy& proxy) { return DescribeUnresponsive(proxy, now); },
      &sentences);
  return sentences;
}

}  // namespace quetzal
