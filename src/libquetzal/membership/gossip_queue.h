#ifndef QUETZAL_MEMBERSHIP_GOSSIP_QUEUE_H_
#define QUETZAL_MEMBERSHIP_GOSSIP_QUEUE_H_

#include <cstdint>
#include <map>
#include <string>

#include "gossip.pb.h"

namespace quetzal {

/// Pending updates to gossip. A later record of an instance replaces an earlier one. Each
/// update is sent a number of times that grows with the logarithm of the fleet size.
class GossipQueue {
 public:
  void Add(const Member& update);
  void Add(const Reach& reach);

  /// Fills `datagram` with the updates sent least often, up to `bytes`, and counts them
  /// as sent. `local`: the receiver is in the same data centre; only such datagrams carry
  /// reachability reports on other data centres.
  void Fill(std::size_t bytes, std::size_t fleet_size, bool local,
            GossipDatagram* datagram);

  /// Drops the reachability reports, when no local member is left to receive them.
  void DropReachReports();

  bool empty() const { return updates_.empty(); }
  std::size_t size() const { return updates_.size(); }

 private:
  struct Item {
    Member member;
    Reach reach;
    bool is_reachability = false;
    std::size_t bytes = 0;
    std::uint32_t sent = 0;
  };

  std::map<std::string, Item> updates_;  ///< Key: instance, or "@" and data centre.
};

}  // namespace quetzal

#endif  // QUETZAL_MEMBERSHIP_GOSSIP_QUEUE_H_
