#ifndef QUETZAL_CALLS_CALL_DIALECT_H_
#define QUETZAL_CALLS_CALL_DIALECT_H_

#include <optional>
#include <string>

#include "base/clock.h"
#include "calls/caller_answer.h"
#include "calls/caller_credential.h"
#include "kernel/plugin_registry.h"
#include "net/stream.h"

namespace quetzal {

/// Metadata that a caller sends with its request.
struct CallerMetadata {
  std::string request_id;             ///< Of this attempt of the caller; may be empty.
  std::optional<Duration> remaining;  ///< Time left until the caller's timeout.
};

/// Metadata that the admitting node sends to its backend server.
struct ServerMetadata {
  Duration remaining{};   ///< Until the deadline, when the server stops working.
  std::string server_id;  ///< Announced id of the only server process that may run it.
  std::string caller_service;  ///< Service of the coordinating node's backend server.
  std::string team;            ///< Of the caller; empty: not stated.
  int hops = 0;                ///< Number of nodes passed.
  std::string via;             ///< Entries of the services passed; see MakeViaEntry.
};

/// Metadata that a backend server sends with its answer.
struct AnswerMetadata {
  std::string request_id;   ///< Of the answered request; empty when not stated.
  bool not_run = false;     ///< The server did not run the request and never will.
  bool stale = false;       ///< A server process with another id has this address.
  bool unverified = false;  ///< Successful, without proof that the server made it.
  bool leaving = false;     ///< The server leaves and takes no new requests.
  /// Requests per second that the server takes from now on; null: as many as come.
  std::optional<double> rate_limit;
};

/// Reads and writes the header fields that carry this metadata.
class CallDialect {
 public:
  virtual ~CallDialect() = default;

  virtual CallerMetadata ReadCaller(const StreamHeaders& headers) const = 0;

  /// Separate from ReadCaller, so that only code that checks a credential holds it.
  virtual CallerCredential ReadCredential(const StreamHeaders& headers) const = 0;

  /// Removes the caller's credential and the field that states the team to servers.
  /// Requests of a configuration with teams are not forwarded with what a caller wrote
  /// there.
  virtual void RemoveTeamFields(StreamHeaders* headers) const = 0;

  /// Writes the fields of `metadata` and replaces those that `headers` already have.
  virtual void WriteServer(const ServerMetadata& metadata,
                           StreamHeaders* headers) const = 0;

  /// Name, in lower case, of the answer field that repeats the request's id; empty when
  /// answers have no such field.
  virtual std::string echo_field() const = 0;

  virtual AnswerMetadata ReadAnswer(const StreamHeaders& headers) const = 0;
  virtual RefusalAnswer WriteRefusal(const Refusal& refusal,
                                     bool close_connection) const = 0;
};

/// Name of the dialect that docs/calls.md describes.
inline constexpr char kDefaultDialect[] = "quetzal";

/// Dialects by name.
using CallDialectRegistry = PluginRegistry<CallDialect>;

}  // namespace quetzal

#endif  // QUETZAL_CALLS_CALL_DIALECT_H_
