#ifndef QUETZAL_CALLS_CALL_DIALECT_H_
#define QUETZAL_CALLS_CALL_DIALECT_H_

#include <optional>
#include <string>

#include "base/clock.h"
#include "calls/caller_answer.h"
#include "kernel/plugin_registry.h"
#include "net/stream.h"

namespace quetzal {

/// What a caller states about its request beside the HTTP message itself.
struct CallerTerms {
  std::string request_id;  ///< Of this attempt of the caller; empty when it has none.
  std::optional<Duration> remaining;  ///< How long the caller still waits.
};

/// What the admitting node states to its backend server.
struct ServerTerms {
  Duration remaining{};        ///< Until the deadline; the server stops work at it.
  std::string server_id;       ///< The only incarnation that may run the request.
  std::string caller_service;  ///< Of the instance at which the request began.
  int hops = 0;                ///< Nodes passed.
  std::string via;             ///< Services passed.
};

/// What a backend server states about its answer.
struct AnswerTerms {
  std::string request_id;  ///< Of the request that it answers; empty when it says none.
  bool not_run = false;    ///< The server did not run the request and will not.
  bool stale = false;      ///< Another incarnation of a server has this address.
  bool unproven = false;   ///< A success that does not show that the server made it.
};

/// The header fields in which callers, nodes and backend servers state these things.
class CallDialect {
 public:
  virtual ~CallDialect() = default;

  virtual CallerTerms ReadCaller(const StreamHeaders& headers) const = 0;

  /// Replaces what `headers` say of these terms.
  virtual void WriteServer(const ServerTerms& terms, StreamHeaders* headers) const = 0;

  /// Name of the field, in lower case, in which an answer repeats the request's id; empty
  /// when answers carry none.
  virtual std::string echo_field() const = 0;

  virtual AnswerTerms ReadAnswer(const StreamHeaders& headers) const = 0;
  virtual RefusalAnswer WriteRefusal(const Refusal& refusal,
                                     bool close_connection) const = 0;
};

/// Name of the dialect that docs/calls.md describes.
inline constexpr char kOwnDialect[] = "quetzal";

/// Dialects by name.
using CallDialectRegistry = PluginRegistry<CallDialect>;

}  // namespace quetzal

#endif  // QUETZAL_CALLS_CALL_DIALECT_H_
