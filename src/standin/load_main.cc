#include <algorithm>
#include <atomic>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include <nlohmann/json.hpp>

#include "base/random.h"
#include "base/result_code.h"
#include "base/settings.h"
#include "standin/blocking_http.h"

namespace quetzal {
namespace {

using Micros = std::chrono::microseconds;

std::vector<SettingSpec> Specs() {
  using K = SettingKind;
  return {
      {"callers-to", K::kEndpointList, "address:port", "", 0, 0, true,
       "Addresses that take callers' requests."},
      {"method", K::kText, "", "GET", 0, 0, false, "Method of the requests."},
      {"path", K::kText, "", "/", 0, 0, false, "Path of the requests."},
      {"host", K::kText, "", "", 0, 0, false, "Host field; empty: the address."},
      {"count", K::kInteger, "", "100", 1, 10000000, false, "Requests in all."},
      {"concurrency", K::kInteger, "", "4", 1, 512, false, "Requests at once."},
      {"rate", K::kInteger, "1/s", "0", 0, 1000000, false,
       "Requests a second; 0: no pause."},
      {"keys", K::kText, "", "", 0, 0, false,
       "Prefix of the idempotency keys; empty: requests carry no key."},
      {"resend", K::kFlag, "", "false", 0, 0, false,
       "Sends a keyed request again, to the next address, until its outcome is known."},
      {"resend-limit", K::kInteger, "", "50", 1, 10000, false, "Tries for each request."},
      {"body-bytes", K::kInteger, "bytes", "0", 0, 16777216, false, "Size of the body."},
      {"all-done", K::kFlag, "", "false", 0, 0, false,
       "Fail unless every request was answered as done."},
      {"counts", K::kEndpointList, "address:port", "", 0, 0, false,
       "Stand-ins whose counts of executions are compared at the end."},
  };
}

/// The outcomes that callers got, counted over all worker threads.
class Tally {
 public:
  void Add(const std::string& key, const std::string& outcome, Micros duration) {
    std::lock_guard<std::mutex> lock(mutex_);
    ++outcome_counts_[outcome];
    if (outcome == "done") latencies_.push_back(duration.count());
    if (!key.empty()) last_outcome_by_key_[key] = outcome;
  }

  const std::map<std::string, std::string>& last_outcome_by_key() const {
    return last_outcome_by_key_;
  }

  std::uint64_t CountOf(const std::string& outcome) const {
    auto it = outcome_counts_.find(outcome);
    return it == outcome_counts_.end() ? 0 : it->second;
  }

  nlohmann::ordered_json Report() {
    std::sort(latencies_.begin(), latencies_.end());
    nlohmann::ordered_json report;
    report["told"] = outcome_counts_;
    if (latencies_.empty()) return report;
    const std::size_t last = latencies_.size() - 1;
    report["p50_us"] = latencies_[last / 2];
    report["p99_us"] = latencies_[last * 99 / 100];
    report["worst_us"] = latencies_[last];
    return report;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::uint64_t> outcome_counts_;
  std::map<std::string, std::string> last_outcome_by_key_;
  std::vector<std::int64_t> latencies_;
};

class Load {
 public:
  explicit Load(const Settings& settings)
      : settings_(settings), addresses_(settings.Addresses("callers-to")) {}

  void Run() {
    start_ = std::chrono::steady_clock::now();
    std::vector<std::thread> workers;
    for (std::int64_t n = 0; n < settings_.Integer("concurrency"); ++n) {
      workers.emplace_back([this, n] { Work(static_cast<std::size_t>(n)); });
    }
    for (std::thread& worker : workers) worker.join();
  }

  Tally& tally() { return tally_; }

 private:
  void Work(std::size_t worker) {
    std::map<std::size_t, std::unique_ptr<BlockingHttpClient>> clients;
    for (;;) {
      const std::int64_t n = next_.fetch_add(1);
      if (n >= settings_.Integer("count")) return;
      WaitForTurn(n);
      SendUntilKnown(n, worker + static_cast<std::size_t>(n), &clients);
    }
  }

  void WaitForTurn(std::int64_t n) const {
    const std::int64_t rate = settings_.Integer("rate");
    if (rate == 0) return;
    std::this_thread::sleep_until(start_ +
                                  std::chrono::nanoseconds(1'000'000'000 / rate * n));
  }

  void SendUntilKnown(
      std::int64_t n, std::size_t address,
      std::map<std::size_t, std::unique_ptr<BlockingHttpClient>>* clients) {
    const HttpMessage request = MakeRequest(n);
    auto it = request.fields.find("idempotency-key");
    const std::string key = it == request.fields.end() ? "" : it->second;
    const bool resend = settings_.Flag("resend") && !key.empty();
    for (std::int64_t tries = 1;; ++tries, ++address) {
      const std::size_t index = address % addresses_.size();
      auto& client = (*clients)[index];
      if (!client) client = std::make_unique<BlockingHttpClient>(addresses_[index]);
      const auto began = std::chrono::steady_clock::now();
      const std::string outcome = SendOnce(client.get(), request);
      const auto duration = std::chrono::steady_clock::now() - began;
      // When the connection failed, nothing was sent: trying another node cannot execute
      // the request twice.
      const bool retry = resend || outcome == InfoOf(ResultCode::kConnectFailed).name;
      if (outcome == "done" || !retry || tries >= settings_.Integer("resend-limit")) {
        tally_.Add(key, outcome, std::chrono::duration_cast<Micros>(duration));
        return;
      }
      std::this_thread::sleep_for(kResendDelay);
    }
  }

  HttpMessage MakeRequest(std::int64_t n) const {
    HttpMessage request;
    request.method = settings_.Text("method");
    request.target = settings_.Text("path");
    if (!settings_.Text("host").empty()) request.fields["host"] = settings_.Text("host");
    request.body =
        std::string(static_cast<std::size_t>(settings_.Integer("body-bytes")), 'x');
    const std::string& prefix = settings_.Text("keys");
    if (!prefix.empty()) request.fields["idempotency-key"] = prefix + std::to_string(n);
    return request;
  }

  static std::string SendOnce(BlockingHttpClient* client, const HttpMessage& request) {
    try {
      const HttpMessage answer = client->Send(request);
      auto it = answer.fields.find("x-quetzal-result");
      if (it != answer.fields.end()) return it->second;
      return answer.status < 400 ? "done" : "status " + std::to_string(answer.status);
    } catch (const Error& error) {
      return std::string(InfoOf(error.code()).name);
    }
  }

  static constexpr std::chrono::milliseconds kResendDelay{100};

  const Settings& settings_;
  std::vector<Endpoint> addresses_;
  std::chrono::steady_clock::time_point start_;
  std::atomic<std::int64_t> next_{0};
  Tally tally_;
};

/// Keys whose outcomes at the callers contradict the executions at the stand-ins.
struct Comparison {
  std::uint64_t doubled = 0;                 ///< Keys executed more than once.
  std::uint64_t done_without_execution = 0;  ///< Keys answered as done, never executed.
  std::uint64_t unreachable = 0;             ///< Stand-ins without an answer.

  bool consistent() const { return doubled == 0 && done_without_execution == 0; }
};

std::map<std::string, std::uint64_t> ReadExecutions(const Settings& settings,
                                                    std::uint64_t* unreachable) {
  std::map<std::string, std::uint64_t> executed;
  HttpMessage request;
  request.method = "GET";
  request.target = "/counts";
  for (const Endpoint& endpoint : settings.Addresses("counts")) {
    try {
      const auto counts =
          nlohmann::json::parse(BlockingHttpClient(endpoint).Send(request).body);
      for (const auto& [key, n] : counts["by_key"].items()) {
        executed[key] += n.get<std::uint64_t>();
      }
    } catch (const Error&) {
      ++*unreachable;
    }
  }
  return executed;
}

Comparison Compare(const Settings& settings, const Tally& tally) {
  Comparison comparison;
  const auto executed = ReadExecutions(settings, &comparison.unreachable);
  for (const auto& [key, outcome] : tally.last_outcome_by_key()) {
    auto it = executed.find(key);
    const std::uint64_t n = it == executed.end() ? 0 : it->second;
    if (n > 1) ++comparison.doubled;
    // An unreachable stand-in may have executed the request.
    if (outcome == "done" && n == 0 && comparison.unreachable == 0) {
      ++comparison.done_without_execution;
    }
  }
  return comparison;
}

int Run(const Settings& settings) {
  Load load(settings);
  load.Run();
  nlohmann::ordered_json report = load.tally().Report();
  bool passed = !settings.Flag("all-done") ||
                load.tally().CountOf("done") ==
                    static_cast<std::uint64_t>(settings.Integer("count"));
  if (!settings.Addresses("counts").empty()) {
    const Comparison comparison = Compare(settings, load.tally());
    report["executions"] = {{"doubled", comparison.doubled},
                            {"done_without_execution", comparison.done_without_execution},
                            {"stand_ins_unreachable", comparison.unreachable}};
    passed = passed && comparison.consistent();
  }
  std::cout << report.dump(2) << std::endl;
  return passed ? kExitOk : kExitFailure;
}

}  // namespace
}  // namespace quetzal

int main(int argc, char* argv[]) {
  const quetzal::SettingsReader reader(
      "quetzal-load", "sends callers' requests and counts the answers", quetzal::Specs());
  const auto outcome = reader.Read(argc, argv, quetzal::ProcessEnvironment());
  std::cout << outcome.output;
  std::cerr << outcome.errors;
  if (outcome.action == quetzal::StartAction::kExit) return outcome.exit_code;
  return quetzal::Run(outcome.settings);
}
