#include "distribution/credential_lease.h"

#include <algorithm>

#include "membership/version_order.h"

namespace quetzal {
namespace {

/// A node that loses its source must go on for at least 3 s of a lease of 4.75 s, which
/// leaves time for one question that is lost and one that waits for an answer.
constexpr Duration kRenewal = std::chrono::seconds(1);
/// Requests are refused meanwhile.
constexpr Duration kRetry = std::chrono::milliseconds(200);

/// Keeps the nonces apart from those of FreshnessCheck, which are below 2^49, and from
/// those of questions of subscribers, which are 2^63 and above.
constexpr std::uint64_t kNonceBase = 1ULL << 62;

constexpr int kRandomNonceShift = 16;

}  // namespace

CredentialLease::CredentialLease(Duration lease, const Clock* clock, Random* random)
    : lease_(lease),
      clock_(clock),
      next_nonce_(lease > Duration::zero()
                      ? kNonceBase + (random->Next() >> kRandomNonceShift)
                      : kNonceBase),
      next_question_(clock->Now()),
      proved_until_(SteadyTime::min()) {}

std::uint64_t CredentialLease::DueQuestion() {
  const SteadyTime now = clock_->Now();
  if (lease_ <= Duration::zero()) return 0;
  // The wait after the last question is shorter once its lease has run out.
  const bool is_proved = proved();
  if (now < next_question_ && (is_proved || now < next_question_ - kRenewal + kRetry)) {
    return 0;
  }
  next_question_ = now + kRenewal;
  while (!questions_.empty() && now - questions_.front().asked_at > lease_) {
    questions_.pop_front();
  }
  questions_.push_back({next_nonce_++, now});
  return questions_.back().nonce;
}

void CredentialLease::OnSourceChanged() { next_question_ = clock_->Now(); }

bool CredentialLease::OnVerified(std::uint64_t nonce, const Version& committed,
                                 const Version& applied) {
  const auto question =
      std::find_if(questions_.begin(), questions_.end(),
                   [nonce](const Question& asked) { return asked.nonce == nonce; });
  if (question == questions_.end()) return false;
  const SteadyTime until = question->asked_at + lease_;
  questions_.erase(question);
  waiting_.push_back({committed, until});
  OnApplied(applied);
  return true;
}

void CredentialLease::OnApplied(const Version& applied) {
  const SteadyTime now = clock_->Now();
  waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(),
                                [&](const Proof& proof) {
                                  const bool holds = !IsOlder(applied, proof.committed);
                                  if (holds) Extend(proof.until);
                                  return holds || proof.until < now;
                                }),
                 waiting_.end());
}

bool CredentialLease::proved() const {
  if (lease_ <= Duration::zero()) return true;
  // The clock is read last: a thread that is suspended before sees the time after it.
  const SteadyTime until = proved_until_;
  return clock_->Now() <= until;
}

void CredentialLease::Extend(SteadyTime until) {
  proved_until_ = std::max(proved_until_.load(), until);
}

}  // namespace quetzal
