#ifndef QUETZAL_DISTRIBUTION_CONFIGURATION_HISTORY_H_
#define QUETZAL_DISTRIBUTION_CONFIGURATION_HISTORY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "configuration.pb.h"
#include "distribution.pb.h"
#include "membership/version_order.h"

namespace quetzal {

/// Hash and size of a configuration's deterministic encoding.
struct ConfigurationDigest {
  std::uint64_t value = 0;  ///< 0: no configuration.
  std::size_t bytes = 0;
};

ConfigurationDigest ComputeDigest(const Configuration& configuration);
inline std::uint64_t DigestOf(const Configuration& configuration) {
  return ComputeDigest(configuration).value;
}

/// A configuration and its digest; computing the digest takes a full encoding.
struct MeasuredConfiguration {
  std::shared_ptr<const Configuration> configuration;
  ConfigurationDigest digest;
};

inline MeasuredConfiguration Measured(
    std::shared_ptr<const Configuration> configuration) {
  const ConfigurationDigest digest = ComputeDigest(*configuration);
  return {std::move(configuration), digest};
}

/// The most recent configurations, for deltas between them; bounded in bytes and number.
class ConfigurationHistory {
 public:
  ConfigurationHistory(std::size_t max_bytes, std::size_t max_entries)
      : max_bytes_(max_bytes), max_entries_(max_entries) {}

  /// Adds a configuration. Returns false when it is not later than the last one.
  bool Add(const Version& version, MeasuredConfiguration configuration);

  bool empty() const { return entries_.empty(); }
  Version version() const;
  std::uint64_t digest() const;
  std::shared_ptr<const Configuration> configuration() const;

  /// Returns the serialized DownMessage that updates `applied` to the last configuration:
  /// a delta when its base is known and the delta is shorter, else a snapshot. Empty when
  /// `applied` is up to date or the history is empty.
  const std::string& UpdateFrom(const Version& applied, std::uint64_t applied_digest);

  /// Returns the same update unserialized. Empty only when the history is empty.
  ConfigurationUpdate MakeUpdate(const Version& applied,
                                 std::uint64_t applied_digest) const;

  std::size_t bytes() const { return bytes_; }

 private:
  struct Entry {
    Version version;
    ConfigurationDigest digest;
    std::shared_ptr<const Configuration> configuration;
  };

  const Entry* Find(const Version& version, std::uint64_t digest) const;

  std::size_t max_bytes_;
  std::size_t max_entries_;
  std::size_t bytes_ = 0;
  std::deque<Entry> entries_;
  std::map<std::uint64_t, std::string> encoded_;  ///< By digest of the base; 0: snapshot.
  std::string empty_update_;
};

/// Applies an update to `configuration`, whose version is `applied`. Throws
/// Error(kDeltaBaseMismatch) when the base or the digest of the result does not match,
/// Error(kMessageMalformed) when a snapshot's digest does not match or the update has no
/// content, and Error(kConfigurationInvalid) when the result is not valid.
MeasuredConfiguration ApplyUpdate(const ConfigurationUpdate& update,
                                  const Version& applied,
                                  const MeasuredConfiguration& configuration);

}  // namespace quetzal

#endif  // QUETZAL_DISTRIBUTION_CONFIGURATION_HISTORY_H_
