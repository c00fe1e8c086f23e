#include "calls/call_headers.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>

namespace quetzal {
namespace {

constexpr std::string_view kInternalPrefix = "x-qz-";
constexpr char kMethodField[] = "x-qz-method";
constexpr char kPathField[] = "x-qz-path";
constexpr char kHostField[] = "x-qz-host";
constexpr char kServiceField[] = "x-qz-service";
constexpr char kAttemptField[] = "x-qz-attempt";
constexpr char kIncarnationField[] = "x-qz-incarnation";
constexpr char kIdempotentField[] = "x-qz-idempotent";
constexpr char kPriorityField[] = "x-qz-priority";
constexpr char kCallerServiceField[] = "x-qz-caller-service";
constexpr char kRemainingField[] = "x-qz-remaining-ns";
constexpr char kRouteField[] = "x-qz-route";
constexpr char kObjectiveField[] = "x-qz-objective-us";
constexpr char kMaxWaitField[] = "x-qz-max-wait-us";
constexpr char kRateLimitField[] = "x-qz-rate-limit";
constexpr char kHopsField[] = "x-qz-hops";
constexpr char kViaField[] = "x-qz-via";
constexpr char kLoadField[] = "x-qz-load";
constexpr char kRefusalField[] = "x-qz-refusal";
constexpr char kExpectField[] = "x-qz-expect";
constexpr char kExpectContinue[] = "continue";
constexpr char kTeamField[] = "x-qz-team";
constexpr char kConfigurationField[] = "x-qz-configuration";
constexpr char kNestedField[] = "x-qz-nested";

constexpr std::uint64_t kMaxRemainingNs = 24ULL * 3600 * 1'000'000'000;
constexpr std::uint64_t kMaxHops = 1'000'000;
constexpr std::uint64_t kMaxCount = 1'000'000'000;

constexpr std::array<std::string_view, 10> kHopByHop = {
    "connection", "keep-alive",       "te",     "trailer", "transfer-encoding",
    "upgrade",    "proxy-connection", "expect", "host",    "http2-settings"};

/// Fields that this node rewrites for the next hop.
constexpr std::array<std::string_view, 3> kRewritten = {kDeadlineHeader, kHopsHeader,
                                                        kViaHeader};

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

template <std::size_t kSize>
bool Contains(const std::array<std::string_view, kSize>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool IsEndToEnd(std::string_view name) {
  if (name.empty() || name[0] == ':') return false;
  if (StartsWith(name, kInternalPrefix) || StartsWith(name, "proxy-")) return false;
  return !Contains(kHopByHop, name) && !Contains(kRewritten, name);
}

std::optional<Duration> ParseMicros(std::string_view text) {
  const auto micros = ParseNumber(text, kMaxRemainingNs / 1000);
  if (!micros) return std::nullopt;
  return std::chrono::microseconds(*micros);
}

void AppendMicros(const char* name, const std::optional<Duration>& time,
                  StreamHeaders* headers) {
  if (!time) return;
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(*time);
  headers->emplace_back(name, std::to_string(std::max<std::int64_t>(0, micros.count())));
}

/// Numbers separated by ';'.
template <std::size_t kSize>
std::optional<std::array<std::uint64_t, kSize>> ParseList(std::string_view text) {
  std::array<std::uint64_t, kSize> numbers{};
  for (std::size_t n = 0; n < numbers.size(); ++n) {
    const std::size_t at = text.find(';');
    const bool last = n + 1 == numbers.size();
    if (last != (at == std::string_view::npos)) return std::nullopt;
    auto number = ParseNumber(text.substr(0, at), kMaxRemainingNs);
    if (!number) return std::nullopt;
    numbers[n] = *number;
    if (!last) text.remove_prefix(at + 1);
  }
  return numbers;
}

}  // namespace

std::optional<std::uint64_t> ParseNumber(std::string_view text, std::uint64_t max) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, number);
  if (ec != std::errc() || stop != end || text.empty() || number > max) {
    return std::nullopt;
  }
  return number;
}

std::optional<double> ParseRate(std::string_view text) {
  double rate = 0;
  const char* end = text.data() + text.size();
  const auto [stop, ec] =
      std::from_chars(text.data(), end, rate, std::chars_format::fixed);
  const bool valid = ec == std::errc() && stop == end && std::isfinite(rate) && rate >= 0;
  return valid ? std::optional(rate) : std::nullopt;
}

StreamHeaders EndToEndFields(const StreamHeaders& fields) {
  // Fields that the connection field names apply to this hop only.
  std::string named;
  for (const auto& [name, value] : fields) {
    if (name == "connection") named += "," + value + ",";
  }
  named.erase(std::remove_if(named.begin(), named.end(),
                             [](char c) { return c == ' ' || c == '\t'; }),
              named.end());
  std::transform(named.begin(), named.end(), named.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  StreamHeaders kept;
  kept.reserve(fields.size());
  for (const auto& [name, value] : fields) {
    if (!IsEndToEnd(name)) continue;
    if (!named.empty() && named.find("," + name + ",") != std::string::npos) continue;
    kept.emplace_back(name, value);
  }
  return kept;
}

StreamHeaders EncodeCall(const CallHead& head, const StreamHeaders& fields) {
  StreamHeaders headers;
  headers.reserve(fields.size() + 18);
  headers.emplace_back(":method", "POST");
  headers.emplace_back(kMethodField, head.method);
  headers.emplace_back(kPathField, head.path);
  headers.emplace_back(kHostField, head.host);
  headers.emplace_back(kServiceField, head.service);
  headers.emplace_back(kIdempotentField, head.idempotent ? "1" : "0");
  headers.emplace_back(kPriorityField, std::to_string(head.priority));
  headers.emplace_back(kRemainingField, std::to_string(head.remaining.count()));
  headers.emplace_back(kHopsField, std::to_string(head.hops));
  headers.emplace_back(kViaField, head.via);
  if (!head.caller_service.empty()) {
    headers.emplace_back(kCallerServiceField, head.caller_service);
  }
  if (!head.route.empty()) headers.emplace_back(kRouteField, head.route);
  AppendMicros(kObjectiveField, head.objective, &headers);
  AppendMicros(kMaxWaitField, head.max_wait, &headers);
  if (head.rate_limit) {
    headers.emplace_back(kRateLimitField, std::to_string(*head.rate_limit));
  }
  if (!head.attempt_id.empty()) {
    headers.emplace_back(kAttemptField, head.attempt_id);
    headers.emplace_back(kIncarnationField, std::to_string(head.incarnation));
  }
  if (head.expects_continue) headers.emplace_back(kExpectField, kExpectContinue);
  if (!head.team.empty()) headers.emplace_back(kTeamField, head.team);
  if (head.configuration_index) {
    headers.emplace_back(kConfigurationField, std::to_string(*head.configuration_index));
  }
  if (head.nested) headers.emplace_back(kNestedField, "1");
  headers.insert(headers.end(), fields.begin(), fields.end());
  return headers;
}

std::optional<CallHead> DecodeCall(const StreamHeaders& headers) {
  CallHead head;
  head.method = HeaderValue(headers, kMethodField);
  head.path = HeaderValue(headers, kPathField);
  head.host = HeaderValue(headers, kHostField);
  head.service = HeaderValue(headers, kServiceField);
  head.via = HeaderValue(headers, kViaField);
  head.caller_service = HeaderValue(headers, kCallerServiceField);
  head.attempt_id = HeaderValue(headers, kAttemptField);
  head.route = HeaderValue(headers, kRouteField);
  head.objective = ParseMicros(HeaderValue(headers, kObjectiveField));
  head.max_wait = ParseMicros(HeaderValue(headers, kMaxWaitField));
  head.rate_limit = ParseRate(HeaderValue(headers, kRateLimitField));
  head.team = HeaderValue(headers, kTeamField);
  head.configuration_index =
      ParseNumber(HeaderValue(headers, kConfigurationField), UINT64_MAX);
  head.idempotent = HeaderValue(headers, kIdempotentField) == "1";
  head.nested = HeaderValue(headers, kNestedField) == "1";
  head.expects_continue = HeaderValue(headers, kExpectField) == kExpectContinue;
  const auto priority = ParseNumber(HeaderValue(headers, kPriorityField), kMaxCount);
  const auto remaining =
      ParseNumber(HeaderValue(headers, kRemainingField), kMaxRemainingNs);
  const auto hops = ParseNumber(HeaderValue(headers, kHopsField), kMaxHops);
  if (head.method.empty() || head.path.empty() || !priority || !remaining || !hops) {
    return std::nullopt;
  }
  if (!head.attempt_id.empty()) {
    const auto incarnation =
        ParseNumber(HeaderValue(headers, kIncarnationField), UINT64_MAX);
    if (!incarnation) return std::nullopt;
    head.incarnation = *incarnation;
  }
  head.priority = static_cast<std::uint32_t>(*priority);
  head.remaining = Duration(static_cast<Duration::rep>(*remaining));
  head.hops = static_cast<int>(*hops);
  return head;
}

std::string EncodeLoad(const LoadReport& load) {
  return std::to_string(load.outstanding) + ';' + std::to_string(load.queued) + ';' +
         std::to_string(load.slots) + ';' +
         std::to_string(
             std::chrono::duration_cast<std::chrono::microseconds>(load.service_time)
                 .count());
}

std::optional<LoadReport> DecodeLoad(const StreamHeaders& headers) {
  const auto numbers = ParseList<4>(HeaderValue(headers, kLoadField));
  if (!numbers) return std::nullopt;
  LoadReport load;
  load.outstanding = static_cast<std::uint32_t>((*numbers)[0]);
  load.queued = static_cast<std::uint32_t>((*numbers)[1]);
  load.slots = static_cast<std::uint32_t>((*numbers)[2]);
  load.service_time = std::chrono::microseconds(
      static_cast<std::int64_t>((*numbers)[3] % kMaxRemainingNs));
  return load;
}

void AddLoad(const LoadReport& load, StreamHeaders* headers) {
  headers->emplace_back(kLoadField, EncodeLoad(load));
}

StreamHeaders EncodeRefusal(const Refusal& refusal, const LoadReport& load) {
  const auto retry =
      std::chrono::duration_cast<std::chrono::milliseconds>(refusal.retry_after);
  StreamHeaders headers;
  headers.emplace_back(":status", "200");
  headers.emplace_back(kRefusalField, std::to_string(static_cast<int>(refusal.code)) +
                                          (refusal.not_run ? ";1;" : ";0;") +
                                          std::to_string(retry.count()) +
                                          (refusal.reached_server ? ";1" : ";0"));
  AddLoad(load, &headers);
  return headers;
}

std::optional<Refusal> DecodeRefusal(const StreamHeaders& headers) {
  const auto text = HeaderValue(headers, kRefusalField);
  if (text.empty()) return std::nullopt;
  Refusal refusal;
  const auto numbers = ParseList<4>(text);
  if (!numbers) {
    refusal.code = ResultCode::kMessageMalformed;
    return refusal;
  }
  refusal.code = ResultCodeFromInt(static_cast<int>((*numbers)[0]));
  refusal.not_run = (*numbers)[1] == 1;
  refusal.retry_after =
      std::chrono::milliseconds(static_cast<std::int64_t>((*numbers)[2]));
  refusal.reached_server = (*numbers)[3] == 1;
  return refusal;
}

bool IsServerError(std::string_view status) {
  return !status.empty() && status[0] >= '5';
}

bool AnswerHasNoBody(std::string_view method, std::string_view status) {
  return method == "HEAD" || status == "204" || status == "304";
}

}  // namespace quetzal
