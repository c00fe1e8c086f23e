#ifndef QUETZAL_CALLS_CALL_HEADERS_H_
#define QUETZAL_CALLS_CALL_HEADERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "net/stream.h"

namespace quetzal {

inline constexpr char kKeyHeader[] = "idempotency-key";
inline constexpr char kDeadlineHeader[] = "x-quetzal-deadline-ms";
inline constexpr char kHopsHeader[] = "x-quetzal-hops";
inline constexpr char kViaHeader[] = "x-quetzal-via";
inline constexpr char kResultHeader[] = "x-quetzal-result";
inline constexpr char kRetryAfterMsHeader[] = "x-quetzal-retry-after-ms";

/// Pseudo field for opening a backend stream: "fresh" requests a new connection.
inline constexpr char kConnectionField[] = ":connection";

/// Pseudo field for opening a backend stream, "NAME=VALUE": an answer whose field NAME
/// has another value belongs to an earlier request and is skipped.
inline constexpr char kEchoField[] = ":echo";

/// Metadata that the coordinating node sends to the admitting node in addition to the
/// caller's header fields.
struct CallHead {
  std::string method;
  std::string path;
  std::string host;
  std::string service;
  std::string attempt_id;         ///< Empty for requests without a key.
  std::uint64_t incarnation = 0;  ///< Of the admitting node; only with an attempt id.
  bool idempotent = true;
  std::uint32_t priority = 0;
  Duration remaining{};               ///< Until the deadline.
  std::string caller_service;         ///< Of the coordinating node's backend server.
  std::string route;                  ///< Serves as the kind of work for admission.
  std::optional<Duration> objective;  ///< Time left until the latency objective.
  std::optional<Duration> max_wait;   ///< An expected wait this long is refused.
  int hops = 0;
  std::string via;
  /// Requests per second that the server takes, as its last answer to the sender states.
  std::optional<double> rate_limit;
  bool expects_continue = false;  ///< Runs only after its sender's confirmation.
  std::string team;               ///< Of the caller; empty: not stated.
  /// Log index of the configuration that the sender used; only during a rollout.
  std::optional<std::uint64_t> configuration_index;
  bool nested = false;  ///< Made by a backend server while it runs another request.
};

/// Interim statuses, sent before an answer; defined in RFC 9110 and RFC 2518.
inline constexpr char kStatusContinue[] = "100";    ///< Slot reserved: confirm.
inline constexpr char kStatusProcessing[] = "102";  ///< Received; queued for a slot.

/// Load of a backend server as its own node reports it on every answer.
struct LoadReport {
  std::uint32_t outstanding = 0;  ///< Requests sent and not answered.
  std::uint32_t queued = 0;
  std::uint32_t slots = 0;  ///< Concurrent requests that it accepts now.
  Duration service_time{};  ///< Moving average, in whole microseconds; zero: not known.
};

/// Typed refusal of an admitting node in place of an answer.
struct Refusal {
  ResultCode code = ResultCode::kOk;
  bool not_run = false;  ///< The request did not run and never will.
  Duration retry_after{};
  bool reached_server = false;  ///< A backend server has seen the request.
};

/// `fields` without hop-by-hop fields, pseudo fields and fields that only instances set.
StreamHeaders EndToEndFields(const StreamHeaders& fields);

StreamHeaders EncodeCall(const CallHead& head, const StreamHeaders& fields);

/// Null when a field is missing or malformed.
std::optional<CallHead> DecodeCall(const StreamHeaders& headers);

std::string EncodeLoad(const LoadReport& load);
std::optional<LoadReport> DecodeLoad(const StreamHeaders& headers);

/// Headers of an answer that carries a refusal to the coordinating node.
StreamHeaders EncodeRefusal(const Refusal& refusal, const LoadReport& load);
std::optional<Refusal> DecodeRefusal(const StreamHeaders& headers);

void AddLoad(const LoadReport& load, StreamHeaders* headers);

/// Decimal number; null when `text` is anything else or exceeds `max`.
std::optional<std::uint64_t> ParseNumber(std::string_view text, std::uint64_t max);

/// Decimal number from 0 on, without an exponent; null for anything else.
std::optional<double> ParseRate(std::string_view text);

/// True for a status of 500 and above.
bool IsServerError(std::string_view status);

/// True when answers with this status, or to this method, have no body.
bool AnswerHasNoBody(std::string_view method, std::string_view status);

}  // namespace quetzal

#endif  // QUETZAL_CALLS_CALL_HEADERS_H_
