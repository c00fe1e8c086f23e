#ifndef QUETZAL_AGREEMENT_AGREEMENT_OPTIONS_H_
#define QUETZAL_AGREEMENT_AGREEMENT_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "base/clock.h"
#include "base/settings.h"

namespace quetzal {

/// Another control instance.
struct AgreementPeer {
  std::string name;
  Endpoint endpoint;  ///< Address at which it accepts streams.
};

/// Timeouts and limits of the consensus protocol. `lease` must be shorter than
/// `election_timeout_min` by more than the clocks of two instances can drift apart during
/// that time.
struct AgreementOptions {
  Duration heartbeat_period = std::chrono::milliseconds(50);
  Duration election_timeout_min = std::chrono::milliseconds(400);
  Duration election_timeout_max = std::chrono::milliseconds(700);
  Duration lease = std::chrono::milliseconds(300);
  Duration message_timeout = std::chrono::milliseconds(500);
  Duration read_timeout = std::chrono::milliseconds(1000);
  Duration handover_timeout = std::chrono::seconds(2);  ///< Longest wait for a successor.
  Duration disk_retry_period = std::chrono::milliseconds(500);

  std::uint64_t snapshot_entries = 10'000;      ///< Entries between two snapshots.
  std::uint64_t snapshot_log_bytes = 16 << 20;  ///< Entry bytes between two snapshots.
  std::size_t append_bytes = 256 << 10;         ///< Entry bytes in one message.
  std::uint64_t append_window = 4096;  ///< Entries sent and not yet acknowledged.
  std::size_t chunk_bytes = 64 << 10;  ///< Snapshot bytes in one message.
  std::size_t snapshot_bytes_max = 64 << 20;
  std::size_t entry_bytes_max = 3 << 20;
  std::size_t pending_max = 4096;  ///< Uncommitted proposals; more get kOverloaded.

  /// Allows an instance with an empty data folder to bootstrap a new group with all
  /// `peers` once each of them has reported an empty folder. Set it on every instance at
  /// the first start. Leaving it on is safe for a group with peers; an instance without
  /// peers that lost its folder would start with empty state.
  bool bootstrap = false;

  /// Lets the leader readmit an instance that returns under its name and address with an
  /// empty data folder: first as a learner, then as a voter.
  bool replace_lost_folders = true;
};

}  // namespace quetzal

#endif  // QUETZAL_AGREEMENT_AGREEMENT_OPTIONS_H_
