#include "control/intent_progress.h"

#include <chrono>
#include <cstdint>

#include "base/concat.h"
#include "configuration/version.h"
#include "control/convergence_text.h"
#include "control/report_json.h"

namespace quetzal {
namespace {

constexpr std::size_t kMaxListed = 20;

using Sentences = std::vector<std::string>;

std::string FieldOf(const Event& event, const std::string& name) {
  for (const auto& [key, value] : event.fields) {
    if (key == name) return value;
  }
  return "";
}

std::string TimePrefix(std::uint64_t micros) { return Concat(FormatMicros(micros), " "); }

std::string TimePrefix(WallTime wall) {
  const auto since =
      std::chrono::duration_cast<std::chrono::microseconds>(wall.time_since_epoch());
  return TimePrefix(static_cast<std::uint64_t>(since.count()));
}

std::string DescribeDeclaration(const IntentRecord& record) {
  const std::string when = TimePrefix(record.declared_micros());
  if (record.state() == INTENT_REFUSED) {
    return Concat(when, "An operator declared it. It was refused, and nothing was ",
                  "changed: ", record.reason());
  }
  const int steps = record.steps_size();
  return Concat(when, "An operator declared it. A plan of ", steps,
                steps == 1 ? " change" : " changes",
                " was made; a plan alone changes nothing.");
}

std::string DescribeDecision(const IntentRecord& record) {
  switch (record.state()) {
    case INTENT_PLANNED:
      return Concat(
          "It is not confirmed yet: nothing changes until an operator confirms ",
          "it with: quetzalctl confirm ", record.id());
    case INTENT_CONFIRMED:
      if (record.has_control_instance()) {
        return Concat(TimePrefix(record.closed_micros()), "An operator confirmed it.");
      }
      return Concat(TimePrefix(record.closed_micros()),
                    "An operator confirmed it; it is ", "configuration ",
                    record.confirmed().index(), ".");
    case INTENT_REFUSED:
      return "";
    default:
      return Concat(TimePrefix(record.closed_micros()), record.reason());
  }
}

std::string DescribeDone(const TimedEvent& done) {
  std::string text = Concat(TimePrefix(done.wall), "It was active on all ",
                            FieldOf(done.event, "proxies"), " nodes");
  const std::string micros = FieldOf(done.event, "convergence_us");
  if (!micros.empty()) {
    const std::chrono::microseconds convergence_time(std::stoll(micros));
    text += Concat(", ", DescribeSeconds(convergence_time), " after it was confirmed");
  }
  return text + ".";
}

void AddDistribution(const std::vector<TimedEvent>& events, const std::string& instance,
                     Sentences* sentences) {
  for (const TimedEvent& timed_event : events) {
    if (timed_event.event.name == "configuration.confirmed") {
      sentences->push_back(Concat(TimePrefix(timed_event.wall), instance,
                                  " began to send it to the nodes."));
    }
    if (timed_event.event.name == "intent.done")
      sentences->push_back(DescribeDone(timed_event));
  }
}

std::string JoinNames(const std::vector<std::string>& names) {
  std::string text;
  for (std::size_t n = 0; n < names.size() && n < kMaxListed; ++n) {
    text += Concat(n == 0 ? "" : ", ", names[n]);
  }
  if (names.size() > kMaxListed)
    text += Concat(" and ", names.size() - kMaxListed, " more");
  return text;
}

}  // namespace

std::vector<std::string> DescribeIntentProgress(const IntentRecord& record,
                                                const std::vector<TimedEvent>& events,
                                                const std::string& instance) {
  Sentences sentences;
  sentences.push_back(Concat("Intent ", record.id(),
                             record.description().empty() ? "" : ": ",
                             record.description()));
  sentences.push_back(DescribeDeclaration(record));
  const std::string decision = DescribeDecision(record);
  if (!decision.empty()) sentences.push_back(decision);
  if (!record.has_confirmed()) return sentences;
  const std::size_t sentences_before = sentences.size();
  AddDistribution(events, instance, &sentences);
  if (sentences.size() == sentences_before) {
    sentences.push_back(Concat(instance, " has no later events of it in memory; the log ",
                               "files have them: quetzal-timeline --intent ", record.id(),
                               " FILES"));
  }
  return sentences;
}

std::vector<std::string> DescribeAppliedVersions(const Version& version,
                                                 const ConvergenceTracker& tracker) {
  struct NodeCounts {
    std::size_t live = 0;
    std::vector<std::string> applied;
  };
  std::map<std::string, NodeCounts> data_centres;
  for (const auto& [name, proxy] : tracker.proxies()) {
    if (!tracker.IsLive(proxy)) continue;
    NodeCounts& counts = data_centres[proxy.ack.data_centre];
    ++counts.live;
    if (!IsEarlier(proxy.ack.applied_version, version)) counts.applied.push_back(name);
  }
  Sentences sentences;
  for (const auto& [data_centre, counts] : data_centres) {
    const std::string names = JoinNames(counts.applied);
    sentences.push_back(Concat("In ", data_centre, " ", counts.applied.size(), " of ",
                               counts.live, " nodes use it or a newer configuration",
                               names.empty() ? "" : ": ", names, "."));
  }
  return sentences;
}

}  // namespace quetzal
