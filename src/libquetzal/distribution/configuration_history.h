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
  std::uint64_t value = 0;  ///< 0: nothing is held.
  std::size_t bytes = 0;
};

ConfigurationDigest MeasureConfiguration(const Configuration& configuration);
inline std::uint64_t DigestOf(const Configuration& configuration) {
  return MeasureConfiguration(configuration).value;
}

/// A configuration and its digest, which takes a whole encoding to find.
struct MeasuredConfiguration {
  std::shared_ptr<const Configuration> configuration;
  ConfigurationDigest digest;
};

inline MeasuredConfiguration Measured(
    std::shared_ptr<const Configuration> configuration) {
  const ConfigurationDigest digest = MeasureConfiguration(*configuration);
  return {std::move(configuration), digest};
}

/// The last configurations, for deltas between them; bounded in bytes and number.
class ConfigurationHistory {
 public:
  ConfigurationHistory(std::size_t max_bytes, std::size_t max_entries)
      : max_bytes_(max_bytes), max_entries_(max_entries) {}

  /// Takes a later configuration; false when it is not later than the last.
  bool Add(const Version& version, MeasuredConfiguration configuration);

  bool empty() const { return entries_.empty(); }
  Version version() const;
  std::uint64_t digest() const;
  std::shared_ptr<const Configuration> configuration() const;

  /// Serialized DownMessage that leads from `held` to the last configuration: the delta
  /// when its base is known and it is the shorter, else the snapshot. Empty when nothing
  /// is needed or held.
  const std::string& UpdateFrom(const Version& held, std::uint64_t held_digest);

  /// The update itself, for an answer to a fetch.
  ConfigurationUpdate MakeUpdate(const Version& held, std::uint64_t held_digest) const;

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
  std::string nothing_;
};

/// Applies an update to what is held. Throws Error(kDeltaBaseMismatch) when the base or
/// the result does not match, Error(kConfigurationInvalid) when the result is not valid.
MeasuredConfiguration ApplyUpdate(const ConfigurationUpdate& update, const Version& held,
                                  const MeasuredConfiguration& configuration);

}  // namespace quetzal

#endif  // QUETZAL_DISTRIBUTION_CONFIGURATION_HISTORY_H_
