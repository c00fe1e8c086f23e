#include "calls/call_context.h"

#include <algorithm>
#include <utility>

#include "calls/default_dialect.h"

namespace quetzal {
namespace {

constexpr std::size_t kMaxAttempts = 20'000;
constexpr std::size_t kMaxAttemptAnswerBytes = std::size_t{4} * 1024 * 1024;

const CallDialect* DialectOrDefault(const CallDialect* dialect) {
  static const DefaultDialect fallback;
  return dialect == nullptr ? &fallback : dialect;
}

std::uint32_t LowerLimit(std::uint32_t announced, std::uint32_t configured) {
  if (configured == 0) return announced;
  return announced == 0 ? configured : std::min(announced, configured);
}

}  // namespace

CallContext::CallContext(const CallDependencies& dependencies, const CallOptions& options)
    : deps(dependencies),
      options(options),
      loads(dependencies.clock, dependencies.random),
      budgets(options.retry_percent, options.shared_retry_burst),
      attempts(kMaxAttempts, kMaxAttemptAnswerBytes),
      finished_requests(SeedFromSystem()),
      admission(
          std::make_shared<BackendAdmission>(dependencies.clock, dependencies.executor)),
      dialect_(DialectOrDefault(dependencies.dialect)),
      random_(dependencies.random->Next()) {}

std::shared_ptr<const RouteMatcher> CallContext::matcher() {
  auto snapshot = deps.routing->snapshot();
  if (!snapshot) return nullptr;
  std::shared_ptr<const RouteMatcher> previous;
  {
    const std::lock_guard<std::mutex> lock(matcher_mutex_);
    if (matcher_ && &matcher_->snapshot() == snapshot.get()) return matcher_;
    previous = matcher_;
  }
  auto fresh = std::make_shared<const RouteMatcher>(snapshot, previous.get());
  {
    const std::lock_guard<std::mutex> lock(matcher_mutex_);
    matcher_ = fresh;
  }
  loads.Prune(*snapshot);
  budgets.SetNodes(snapshot->targets.size());
  const bool same_configuration =
      previous && previous->snapshot().configuration == snapshot->configuration;
  if (!same_configuration) {
    rollouts.Prune(*snapshot->configuration);
    version_counters.Prune(*snapshot->configuration, snapshot->version.index());
  }
  ApplyLimits();
  return fresh;
}

void CallContext::SetBackendServer(const LocalBackendServer& server) {
  bool replaced = false;
  {
    const std::lock_guard<std::mutex> lock(server_mutex_);
    replaced = !server_.id.empty() && server_.id != server.id;
    server_ = server;
    if (replaced) server_answered_ = false;
  }
  if (replaced) SetRateLimit(std::nullopt, /*in_answer=*/false);
  ApplyLimits();
}

LocalBackendServer CallContext::backend_server() const {
  const std::lock_guard<std::mutex> lock(server_mutex_);
  return server_;
}

void CallContext::CheckBackendServer() {
  if (!deps.on_backend_unreachable || checks_server_.exchange(true)) return;
  deps.backends->Connect(backend_server().address,
                         [weak = weak_from_this()](bool connected) {
                           const auto context = weak.lock();
                           if (!context) return;
                           context->checks_server_ = false;
                           if (!connected) context->deps.on_backend_unreachable();
                         });
}

void CallContext::SetRateLimit(std::optional<double> per_second, bool in_answer) {
  std::string server_id;
  bool was_limited = false;
  {
    const std::lock_guard<std::mutex> lock(server_mutex_);
    if (server_answered_ && !in_answer) return;
    server_answered_ = in_answer;
    if (per_second == rate_limit_) return;
    was_limited = rate_limit_.has_value();
    rate_limit_ = per_second;
    server_id = server_.id;
  }
  admission->SetRateLimit(per_second);
  // The value may differ in each answer; a metric shows it.
  if (per_second.has_value() == was_limited) return;
  deps.events->Emit(
      {"server.rate_limit",
       {{"server", server_id},
        {"per_second", per_second ? std::to_string(*per_second) : "none"}}});
}

std::optional<double> CallContext::rate_limit() const {
  const std::lock_guard<std::mutex> lock(server_mutex_);
  return rate_limit_;
}

std::string CallContext::MakeAttemptId() {
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
      deps.clock->WallNow().time_since_epoch());
  return AttemptId::Make(options.instance, options.incarnation, ++attempt_counter_,
                         micros.count());
}

double CallContext::RandomUnit() {
  const std::lock_guard<std::mutex> lock(random_mutex_);
  return random_.Unit();
}

void CallContext::ApplyLimits() {
  // If another thread changed the limits meanwhile, the newer ones are applied again.
  std::uint64_t seen = ++limits_changes_;
  for (;;) {
    admission->SetServer(CurrentLimits());
    const std::uint64_t latest = limits_changes_;
    if (latest == seen) return;
    seen = latest;
  }
}

AdmissionLimits CallContext::CurrentLimits() const {
  const LocalBackendServer server = backend_server();
  std::shared_ptr<const RouteMatcher> matcher;
  {
    const std::lock_guard<std::mutex> lock(matcher_mutex_);
    matcher = matcher_;
  }
  AdmissionLimits limits;
  limits.state = server.state;
  limits.slots = server.slots;
  limits.connections = server.connections;
  if (!matcher) return limits;
  if (const Service* service = matcher->FindService(server.service)) {
    limits.slots = LowerLimit(server.slots, service->slots());
    limits.connections = LowerLimit(server.connections, service->connections());
    limits.queue = service->queue();
    limits.slow_start = std::chrono::milliseconds(service->slow_start_ms());
  }
  const auto& leaving = matcher->snapshot().configuration->leaving();
  if (std::find(leaving.begin(), leaving.end(), options.instance) != leaving.end()) {
    limits.state = SERVER_LEAVING;
  }
  return limits;
}

}  // namespace quetzal
