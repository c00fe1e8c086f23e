#ifndef QUETZAL_CALLS_CALL_ROLLOUT_H_
#define QUETZAL_CALLS_CALL_ROLLOUT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "calls/call_context.h"
#include "calls/rollout_router.h"
#include "calls/version_counters.h"

namespace quetzal {

/// The part that the rollout of a service plays for one request at its coordinating node:
/// which servers the attempts may use, and how they are counted. Does nothing for
/// services without a rollout. One attempt is active at most.
class CallRollout {
 public:
  explicit CallRollout(std::shared_ptr<CallContext> context)
      : context_(std::move(context)) {}
  ~CallRollout();

  CallRollout(const CallRollout&) = delete;
  CallRollout& operator=(const CallRollout&) = delete;

  /// Servers that the next attempt may use; valid until the next call and as long as
  /// `matcher`.
  const RolloutRouter::Targets& Targets(const RouteMatcher& matcher,
                                        const std::string& service);

  /// Gives up the new version for this request, since none of its servers takes it. False
  /// when the request does not use the new version.
  bool UseOldVersion();

  /// Begins an attempt at a server that Targets() returned.
  void Begin(const RouteMatcher& matcher, const BackendTarget& target,
             const std::string& route);

  /// The request is sent to the attempt's server from now on.
  void MarkSent();

  /// Ends the attempt, if one is active.
  void End(VersionOutcome outcome);

  /// The attempt's node refused the configuration that was used for it.
  void RecordRefusal(const BackendTarget& target);

  /// Log index of the configuration used for the attempt; null unless its server is known
  /// to have the version of a rollout. A call meant for an old server, which a new one
  /// has replaced, is refused without it.
  std::optional<std::uint64_t> stated_index() const {
    return target_is_new_ ? std::optional(configuration_index_) : std::nullopt;
  }

 private:
  const std::shared_ptr<CallContext> context_;
  std::string service_;
  CanaryDraw draw_;
  RolloutRouter::Targets targets_;
  VersionCounters::Attempt attempt_;
  SteadyTime sent_at_;
  std::uint64_t configuration_index_ = 0;
  bool has_rollouts_ = false;
  bool knows_rollout_ = false;  ///< Of the service.
  bool target_is_new_ = false;  ///< Of the attempt.
  bool repeated_ = false;       ///< A server has seen the request.
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_CALL_ROLLOUT_H_
