#include "distribution/freshness_check.h"

#include <algorithm>

#include "membership/version_order.h"

namespace quetzal {

FreshnessCheck::FreshnessCheck(Settings settings, const Clock* clock, Random* random)
    : settings_(settings),
      clock_(clock),
      first_nonce_((random->Next() >> 16) + 1),
      next_nonce_(first_nonce_) {
  Begin();
}

void FreshnessCheck::Begin() {
  pending_ = true;
  first_nonce_ = next_nonce_;
  ++round_;
  answers_.clear();
  asked_.clear();
  next_question_ = clock_->Now();
  next_round_ = clock_->Now();
  quorum_backed_at_ = clock_->Now();
}

std::uint64_t FreshnessCheck::DueQuestion() {
  if (!pending_ || clock_->Now() < next_question_) return 0;
  next_question_ = clock_->Now() + settings_.retry;
  return next_nonce_++;
}

bool FreshnessCheck::OnVerified(std::uint64_t nonce) {
  return pending_ && nonce >= first_nonce_ && nonce < next_nonce_;
}

void FreshnessCheck::OnQuorumBacked() { quorum_backed_at_ = clock_->Now(); }

bool FreshnessCheck::ShouldAskPeers() const {
  const SteadyTime now = clock_->Now();
  return pending_ && now >= next_round_ &&
         now - quorum_backed_at_ >= settings_.control_timeout;
}

void FreshnessCheck::AskPeers(const std::vector<std::string>& peers) {
  ++round_;
  next_round_ = clock_->Now() + settings_.retry;
  asked_ = peers;
  answers_.clear();
}

std::optional<Version> FreshnessCheck::OnPeerAnswer(std::uint64_t round,
                                                    const VersionAnswer& answer) {
  if (!pending_ || round != round_ || !answer.vouched()) return std::nullopt;
  if (std::find(asked_.begin(), asked_.end(), answer.instance()) == asked_.end()) {
    return std::nullopt;
  }
  answers_[answer.instance()] = LaterOf(answer.held(), answer.known());
  if (answers_.size() < asked_.size() / 2 + 1) return std::nullopt;
  Version floor;
  for (const auto& [name, version] : answers_) floor = LaterOf(floor, version);
  return floor;
}

}  // namespace quetzal
