#include "calls/call_rollout.h"

namespace quetzal {
namespace {

std::chrono::microseconds TimeSince(const Rollout& rollout, const Clock& clock) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             clock.WallNow().time_since_epoch()) -
         std::chrono::microseconds(rollout.started_micros());
}

}  // namespace

CallRollout::~CallRollout() {
  End(VersionOutcome::kNotRun);
  if (!repeated_) context_->rollouts.Release(service_, &draw_);
}

const RolloutRouter::Targets& CallRollout::Targets(const RouteMatcher& matcher,
                                                   const std::string& service) {
  const Configuration& configuration = *matcher.snapshot().configuration;
  configuration_index_ = matcher.snapshot().version.index();
  has_rollouts_ = configuration.rollouts_size() > 0;
  const RolloutRouter::Targets& all = matcher.Targets(service);
  const bool has_refusals = context_->rollouts.has_refusals();
  if (!has_rollouts_ && !has_refusals) return all;
  const Rollout* rollout = FindRollout(configuration, service);
  if (rollout == nullptr && !has_refusals) return all;
  service_ = service;
  targets_ = all;
  if (has_refusals) context_->rollouts.DropRefused(configuration_index_, &targets_);
  if (rollout == nullptr) return targets_;
  const bool drawn = draw_.rollout == rollout->started().index();
  const double unit = drawn ? 0 : context_->RandomUnit();
  targets_ =
      context_->rollouts.Admissible(*rollout, targets_, unit, repeated_,
                                    TimeSince(*rollout, *context_->deps.clock), &draw_);
  return targets_;
}

void CallRollout::MarkSent() {
  if (attempt_.rollout != 0) sent_at_ = context_->Now();
}

void CallRollout::RecordRefusal(const BackendTarget& target) {
  // Another server has replaced the target; the version that it had is not refused.
  if (knows_rollout_ && !target_is_new_) return;
  if (!context_->rollouts.RecordRefusal(target, configuration_index_)) return;
  context_->deps.events->Emit({"rollout.refused",
                               {{"service", target.service},
                                {"server_version", target.version},
                                {"peer", target.instance},
                                {"version", std::to_string(configuration_index_)}}});
}

bool CallRollout::UseOldVersion() {
  if (!draw_.is_new || repeated_) return false;
  context_->rollouts.Release(service_, &draw_);
  return true;
}

void CallRollout::Begin(const RouteMatcher& matcher, const BackendTarget& target,
                        const std::string& route) {
  knows_rollout_ = false;
  target_is_new_ = false;
  if (!has_rollouts_) return;
  const Rollout* rollout = FindRollout(*matcher.snapshot().configuration, target.service);
  if (rollout == nullptr) return;
  knows_rollout_ = true;
  target_is_new_ = target.version == rollout->version();
  attempt_ = context_->version_counters.Begin(*rollout, target.version, route);
  MarkSent();
}

void CallRollout::End(VersionOutcome outcome) {
  if (attempt_.rollout != 0) {
    context_->version_counters.End(attempt_, outcome, context_->Now() - sent_at_);
    attempt_ = VersionCounters::Attempt();
  }
  if (outcome == VersionOutcome::kNotRun || repeated_) return;
  repeated_ = true;
  if (draw_.rollout != 0) context_->rollouts.CountServed(service_, draw_.rollout);
}

}  // namespace quetzal
