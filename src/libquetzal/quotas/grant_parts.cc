#include "quotas/grant_parts.h"

#include <utility>

namespace quetzal {

std::vector<QuotaMessage> GrantParts::Split(std::uint64_t number,
                                            const std::vector<TeamShare>& shares,
                                            std::uint32_t valid_ms) {
  std::vector<QuotaMessage> parts(1);
  std::size_t bytes = 0;
  parts.back().mutable_grant();
  for (const TeamShare& share : shares) {
    const std::size_t size = share.ByteSizeLong() + 3;
    if (bytes + size > kShareBytes && parts.size() < kMaxParts) {
      parts.emplace_back();
      bytes = 0;
    }
    bytes += size;
    *parts.back().mutable_grant()->add_shares() = share;
  }
  for (std::size_t n = 0; n < parts.size(); ++n) {
    parts[n].set_sequence(number * kMaxParts + n);
  }
  parts.back().mutable_grant()->set_valid_ms(valid_ms);
  return parts;
}

std::optional<QuotaGrant> GrantParts::Add(const std::string& sender,
                                          std::uint64_t incarnation,
                                          const QuotaMessage& message) {
  if (sender != sender_ || incarnation != incarnation_) {
    sender_ = sender;
    incarnation_ = incarnation;
    next_ = 0;
    grant_.Clear();
  }
  const std::uint64_t sequence = message.sequence();
  if (sequence < next_) return std::nullopt;
  if (sequence % kMaxParts == 0) {
    grant_.Clear();
  } else if (sequence != next_) {
    return std::nullopt;
  }
  grant_.MergeFrom(message.grant());
  next_ = sequence + 1;
  if (message.grant().valid_ms() == 0) return std::nullopt;
  next_ = (sequence / kMaxParts + 1) * kMaxParts;
  return std::exchange(grant_, {});
}

}  // namespace quetzal
