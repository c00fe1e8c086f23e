#include "control/intent_story.h"

#include <chrono>
#include <cstdint>

#include "base/concat.h"
#include "configuration/version.h"
#include "control/convergence_text.h"
#include "control/report_json.h"

namespace quetzal {
namespace {

constexpr std::size_t kMaxNamed = 20;

using Sentences = std::vector<std::string>;

std::string FieldOf(const Event& event, const std::string& name) {
  for (const auto& [key, value] : event.fields) {
    if (key == name) return value;
  }
  return "";
}

std::string At(std::uint64_t micros) { return Concat(FormatMicros(micros), " "); }

std::string At(WallTime wall) {
  const auto since =
      std::chrono::duration_cast<std::chrono::microseconds>(wall.time_since_epoch());
  return At(static_cast<std::uint64_t>(since.count()));
}

std::string TellDeclaration(const IntentRecord& record) {
  const std::string when = At(record.declared_micros());
  if (record.state() == INTENT_REFUSED) {
    return Concat(when, "An operator declared it. It was refused, and nothing was ",
                  "changed: ", record.reason());
  }
  const int steps = record.steps_size();
  return Concat(when, "An operator declared it. A plan of ", steps,
                steps == 1 ? " change" : " changes",
                " was made; a plan alone changes nothing.");
}

std::string TellDecision(const IntentRecord& record) {
  switch (record.state()) {
    case INTENT_PLANNED:
      return Concat("It waits for a person: nothing changes until an operator confirms ",
                    "it with: quetzalctl confirm ", record.id());
    case INTENT_CONFIRMED:
      if (record.has_control_instance()) {
        return Concat(At(record.closed_micros()), "An operator confirmed it.");
      }
      return Concat(At(record.closed_micros()), "An operator confirmed it; it is ",
                    "configuration ", record.confirmed().index(), ".");
    case INTENT_REFUSED:
      return "";
    default:
      return Concat(At(record.closed_micros()), record.reason());
  }
}

std::string TellDone(const TimedEvent& done) {
  std::string text = Concat(At(done.wall), "It was in force on all ",
                            FieldOf(done.event, "proxies"), " nodes");
  const std::string micros = FieldOf(done.event, "convergence_us");
  if (!micros.empty()) {
    const std::chrono::microseconds taken(std::stoll(micros));
    text += Concat(", ", DescribeSeconds(taken), " after it was confirmed");
  }
  return text + ".";
}

void TellSpread(const std::vector<TimedEvent>& events, const std::string& instance,
                Sentences* sentences) {
  for (const TimedEvent& kept : events) {
    if (kept.event.name == "configuration.confirmed") {
      sentences->push_back(
          Concat(At(kept.wall), instance, " began to send it to the nodes."));
    }
    if (kept.event.name == "intent.done") sentences->push_back(TellDone(kept));
  }
}

std::string Names(const std::vector<std::string>& names) {
  std::string text;
  for (std::size_t n = 0; n < names.size() && n < kMaxNamed; ++n) {
    text += Concat(n == 0 ? "" : ", ", names[n]);
  }
  if (names.size() > kMaxNamed)
    text += Concat(" and ", names.size() - kMaxNamed, " more");
  return text;
}

}  // namespace

std::vector<std::string> TellIntent(const IntentRecord& record,
                                    const std::vector<TimedEvent>& events,
                                    const std::string& instance) {
  Sentences sentences;
  sentences.push_back(Concat("Intent ", record.id(),
                             record.description().empty() ? "" : ": ",
                             record.description()));
  sentences.push_back(TellDeclaration(record));
  const std::string decision = TellDecision(record);
  if (!decision.empty()) sentences.push_back(decision);
  if (!record.has_confirmed()) return sentences;
  const std::size_t told = sentences.size();
  TellSpread(events, instance, &sentences);
  if (sentences.size() == told) {
    sentences.push_back(Concat(instance, " has no later events of it in memory; the log ",
                               "files have them: quetzal-timeline --intent ", record.id(),
                               " FILES"));
  }
  return sentences;
}

std::vector<std::string> TellHolders(const Version& version,
                                     const ConvergenceTracker& tracker) {
  struct Place {
    std::size_t live = 0;
    std::vector<std::string> holders;
  };
  std::map<std::string, Place> places;
  for (const auto& [name, proxy] : tracker.proxies()) {
    if (!tracker.IsLive(proxy)) continue;
    Place& place = places[proxy.ack.data_centre];
    ++place.live;
    if (!IsEarlier(proxy.ack.applied_version, version)) place.holders.push_back(name);
  }
  Sentences sentences;
  for (const auto& [data_centre, place] : places) {
    const std::string names = Names(place.holders);
    sentences.push_back(Concat("In ", data_centre, " ", place.holders.size(), " of ",
                               place.live, " nodes use it or a newer configuration",
                               names.empty() ? "" : ": ", names, "."));
  }
  return sentences;
}

}  // namespace quetzal
