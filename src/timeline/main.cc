#include <csignal>
#include <iostream>
#include <vector>

#include "base/settings.h"
#include "timeline/log_tail.h"
#include "timeline/timeline.h"

namespace quetzal {
namespace {

constexpr std::chrono::milliseconds kFollowPeriod{200};

std::vector<SettingSpec> Specs() {
  using K = SettingKind;
  return {
      {"intent", K::kText, "", "", 0, 0, false, "Show the events of this intent only."},
      {"key", K::kText, "", "", 0, 0, false, "Show the events of this request key only."},
      {"only-instance", K::kText, "", "", 0, 0, false,
       "Show events of or about this instance only."},
      {"json", K::kFlag, "", "false", 0, 0, false, "Print JSON lines."},
      {"follow", K::kFlag, "", "false", 0, 0, false, "Go on while the files grow."},
      {"settle-ms", K::kMillis, "ms", "1000", 0, 60000, false,
       "With --follow: how long an event waits for earlier ones of other processes."},
  };
}

void Print(const std::vector<TimelineRecord>& records, bool json) {
  for (const TimelineRecord& record : records) {
    std::cout << (json ? FormatTimelineJson(record) : FormatTimelineText(record)) << '\n';
  }
  std::cout.flush();
}

/// Returns the time up to which events are printed: later ones still wait `settle`.
HybridTime Horizon(const Clock& clock, std::chrono::milliseconds settle) {
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
      (clock.WallNow() - settle).time_since_epoch());
  return {static_cast<std::uint64_t>(micros.count()), 0};
}

/// Waits up to kFollowPeriod; returns true when a stop signal arrived.
bool WaitForStopSignal(const sigset_t& signals) {
  const timespec wait{0, std::chrono::nanoseconds(kFollowPeriod).count()};
  return sigtimedwait(&signals, nullptr, &wait) > 0;
}

sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

void ReadNewLines(std::vector<LogTail>* tails, Timeline* timeline) {
  for (LogTail& tail : *tails) {
    for (const std::string& line : tail.NewLines()) timeline->AddLine(line);
  }
}

int ReportUnreadable(const std::vector<LogTail>& tails) {
  int exit_code = kExitOk;
  for (const LogTail& tail : tails) {
    if (tail.opened()) continue;
    std::cerr << tail.path() << ": cannot be read\n";
    exit_code = kExitFolder;
  }
  return exit_code;
}

int Run(const Settings& settings) {
  std::vector<LogTail> tails;
  for (const std::string& path : settings.arguments()) tails.emplace_back(path);
  if (tails.empty()) {
    std::cerr << "no log files were named\n";
    return kExitSettings;
  }
  const sigset_t signals = BlockStopSignals();
  const SystemClock clock;
  const bool json = settings.Flag("json");
  Timeline timeline(
      {settings.Text("intent"), settings.Text("key"), settings.Text("only-instance")});
  bool stop = !settings.Flag("follow");
  for (;;) {
    ReadNewLines(&tails, &timeline);
    if (stop) break;
    Print(timeline.TakeUntil(Horizon(clock, settings.Millis("settle-ms"))), json);
    stop = WaitForStopSignal(signals);
  }
  Print(timeline.TakeAll(), json);
  if (timeline.malformed_lines() > 0) {
    std::cerr << timeline.malformed_lines() << " lines skipped: not valid events\n";
  }
  return ReportUnreadable(tails);
}

}  // namespace
}  // namespace quetzal

int main(int argc, char* argv[]) {
  const quetzal::SettingsReader reader("quetzal-timeline",
                                       "merges the event log files given as arguments",
                                       quetzal::Specs());
  const auto outcome = reader.Read(argc, argv, quetzal::ProcessEnvironment());
  std::cout << outcome.output;
  std::cerr << outcome.errors;
  if (outcome.action == quetzal::StartAction::kExit) return outcome.exit_code;
  return quetzal::Run(outcome.settings);
}
