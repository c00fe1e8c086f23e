#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

#include <nlohmann/json.hpp>

#include "base/result_code.h"
#include "base/settings.h"
#include "standin/blocking_http.h"

namespace quetzal {
namespace {

std::vector<SettingSpec> Specs() {
  using K = SettingKind;
  return {
      {"service", K::kText, "", "", 0, 0, true, "Name of the service."},
      {"listen", K::kEndpoint, "address:port", "127.0.0.1:0", 0, 0, false,
       "Address that serves requests."},
      {"node-admin", K::kEndpoint, "address:port", "", 0, 0, true,
       "Admin address of this instance's node."},
      {"slots", K::kInteger, "", "20", 1, 1000, false, "Requests at once."},
      {"connections", K::kInteger, "", "130", 1, 10000, false, "Connections at once."},
      {"work-ms", K::kMillis, "ms", "1", 0, 60000, false, "Time that a request takes."},
      {"heartbeat-ms", K::kMillis, "ms", "500", 50, 60000, false,
       "Period of announcements."},
      {"close-every", K::kInteger, "", "0", 0, 1000000, false,
       "Closes without an answer after every n-th executed request; 0: never."},
      {"counts-file", K::kText, "", "", 0, 0, false,
       "File of the executed keys, which outlives the process; empty: none."},
      {"cut-every", K::kInteger, "", "0", 0, 1000000, false,
       "Cuts every n-th answer short; 0: never."},
      {"crash-target", K::kText, "", "", 0, 0, false,
       "Ends the process while it runs a request for this target; empty: never."},
  };
}

/// Counts executed requests, and those that exceeded the slots.
class StandIn {
 public:
  explicit StandIn(const Settings& settings) : settings_(settings) {
    const std::string& path = settings.Text("counts-file");
    if (path.empty()) return;
    std::ifstream executed(path);
    for (std::string key; std::getline(executed, key);) ++by_key_[key];
    counts_file_.open(path, std::ios::app);
    if (!counts_file_) throw Error(ResultCode::kFolderMissing, "cannot write " + path);
  }

  AnswerAction Handle(const HttpMessage& request, HttpMessage* answer) {
    if (request.target == "/counts") {
      answer->body = Counts();
      return AnswerAction::kAnswer;
    }
    if (active_.fetch_add(1) >= settings_.Integer("slots")) ++over_slots_;
    std::this_thread::sleep_for(settings_.Millis("work-ms"));
    if (request.target == settings_.Text("crash-target")) std::_Exit(kExitFailure);
    const std::uint64_t n = Count(request);
    --active_;
    answer->fields["content-type"] = "application/json";
    answer->body = nlohmann::json{
        {"service", settings_.Text("service")},
        {"target", request.target},
        {"n", n}}.dump();
    const auto close_every = static_cast<std::uint64_t>(settings_.Integer("close-every"));
    if (close_every != 0 && n % close_every == 0) return AnswerAction::kCloseUnanswered;
    const auto cut_every = static_cast<std::uint64_t>(settings_.Integer("cut-every"));
    if (cut_every != 0 && n % cut_every == 0) return AnswerAction::kCutAnswer;
    return AnswerAction::kAnswer;
  }

 private:
  std::uint64_t Count(const HttpMessage& request) {
    std::lock_guard<std::mutex> lock(mutex_);
    auto it = request.fields.find("idempotency-key");
    if (it != request.fields.end()) {
      ++by_key_[it->second];
      if (counts_file_.is_open()) counts_file_ << it->second << std::endl;
    }
    return ++executed_;
  }

  std::string Counts() {
    std::lock_guard<std::mutex> lock(mutex_);
    return nlohmann::json{
        {"executed", executed_}, {"by_key", by_key_}, {"over_slots", over_slots_.load()}}
        .dump();
  }

  const Settings& settings_;
  std::atomic<std::int64_t> active_{0};
  std::atomic<std::uint64_t> over_slots_{0};
  std::mutex mutex_;
  std::uint64_t executed_ = 0;
  std::map<std::string, std::uint64_t> by_key_;
  std::ofstream counts_file_;
};

void Announce(const Settings& settings, const Endpoint& endpoint,
              const std::string& method) {
  HttpMessage request;
  request.method = method;
  request.target = "/v1/backend-server";
  request.fields["content-type"] = "application/json";
  request.body = nlohmann::json{{"service", settings.Text("service")},
                                {"address", endpoint.ToString()},
                                {"slots", settings.Integer("slots")},
                                {"connections", settings.Integer("connections")}}
                     .dump();
  try {
    BlockingHttpClient(settings.Address("node-admin")).Send(request);
  } catch (const Error&) {
    // The node may be starting or restarting; the next heartbeat announces the server
    // again.
  }
}

bool WaitForStop(const sigset_t& signals, std::chrono::milliseconds period) {
  const timespec wait{period.count() / 1000, (period.count() % 1000) * 1'000'000};
  return sigtimedwait(&signals, nullptr, &wait) > 0;
}

int Run(const Settings& settings) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  StandIn stand_in(settings);
  BlockingHttpServer server(settings.Address("listen"),
                            static_cast<int>(settings.Integer("connections")),
                            [&stand_in](const HttpMessage& request, HttpMessage* answer) {
                              return stand_in.Handle(request, answer);
                            });
  std::cout << server.endpoint().ToString() << std::endl;
  do {
    Announce(settings, server.endpoint(), "POST");
  } while (!WaitForStop(signals, settings.Millis("heartbeat-ms")));
  Announce(settings, server.endpoint(), "DELETE");
  server.Stop();
  return kExitOk;
}

}  // namespace
}  // namespace quetzal

int main(int argc, char* argv[]) {
  using quetzal::Error;
  const quetzal::SettingsReader reader(
      "quetzal-standin", "a small backend server for trials and tests", quetzal::Specs());
  const auto outcome = reader.Read(argc, argv, quetzal::ProcessEnvironment());
  std::cout << outcome.output;
  std::cerr << outcome.errors;
  if (outcome.action == quetzal::StartAction::kExit) return outcome.exit_code;
  try {
    return quetzal::Run(outcome.settings);
  } catch (const Error& error) {
    std::cerr << error.what() << "\n";
    return error.code() == quetzal::ResultCode::kPortTaken ? quetzal::kExitPortTaken
                                                           : quetzal::kExitFailure;
  }
}
