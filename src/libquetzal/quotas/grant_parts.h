#ifndef QUETZAL_QUOTAS_GRANT_PARTS_H_
#define QUETZAL_QUOTAS_GRANT_PARTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "quota.pb.h"

namespace quetzal {

/// Splits grants into messages that fit into a datagram, and joins them again. A grant
/// replaces all shares, so it counts only once all its parts have arrived: part n of
/// grant g has the sequence g * kMaxParts + n, and only the last part has a validity.
class GrantParts {
 public:
  static constexpr std::uint64_t kMaxParts = 64;

  /// Bytes of shares in one message; the rest of 1,200 is for the datagram's own fields.
  static constexpr std::size_t kShareBytes = 1000;

  static std::vector<QuotaMessage> Split(std::uint64_t number,
                                         const std::vector<TeamShare>& shares,
                                         std::uint32_t valid_ms);

  /// Adds a part of a grant of `sender`; returns the whole grant with its last part.
  /// Parts of grants that are older than the last whole one are ignored, as are those
  /// that arrive out of order.
  std::optional<QuotaGrant> Add(const std::string& sender, std::uint64_t incarnation,
                                const QuotaMessage& message);

 private:
  std::string sender_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t next_ = 0;  ///< Sequence expected, or the least one of the next grant.
  QuotaGrant grant_;
};

}  // namespace quetzal

#endif  // QUETZAL_QUOTAS_GRANT_PARTS_H_
