#include "membership/gossip_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <vector>

namespace quetzal {

namespace {

constexpr std::size_t kFieldBytes = 3;  // Tag and length of an element of a list.
/// Of a datagram without updates; at most about this much.
constexpr std::size_t kEnvelopeBytes = 150;
/// Each update is sent this often per power of ten of the fleet size.
constexpr double kSendsPerMagnitude = 4;

}  // namespace

void GossipQueue::Add(const Member& update) {
  Item item;
  item.member = update;
  item.bytes = update.ByteSizeLong() + kFieldBytes;
  updates_[update.instance()] = std::move(item);
}

void GossipQueue::Add(const Reach& reach) {
  Item item;
  item.reach = reach;
  item.is_reachability = true;
  item.bytes = reach.ByteSizeLong() + kFieldBytes;
  updates_["@" + reach.data_centre()] = std::move(item);
}

void GossipQueue::Fill(std::size_t bytes, std::size_t fleet_size, bool local,
                       GossipDatagram* datagram) {
  const auto limit = static_cast<std::uint32_t>(
      kSendsPerMagnitude * std::ceil(std::log10(static_cast<double>(fleet_size) + 2)));
  using Candidate = std::tuple<std::uint32_t, std::size_t, const std::string*>;
  std::vector<Candidate> order;
  order.reserve(updates_.size());
  for (const auto& [name, item] : updates_) {
    if (item.is_reachability && !local) continue;
    order.emplace_back(item.sent, item.bytes, &name);
  }
  std::sort(order.begin(), order.end(), [](const Candidate& a, const Candidate& b) {
    return std::tie(std::get<0>(a), *std::get<2>(a)) <
           std::tie(std::get<0>(b), *std::get<2>(b));
  });
  std::size_t used = datagram->ByteSizeLong();
  std::vector<std::string> finished;
  bool first = true;
  for (const auto& [sent, size, name] : order) {
    // An update that is too long for any datagram must not hold back the others.
    const bool fits_alone = size + kEnvelopeBytes <= bytes;
    if (used + size > bytes && (fits_alone || !first)) break;
    first = false;
    used += size;
    Item& item = updates_[*name];
    if (item.is_reachability) {
      *datagram->add_reach() = item.reach;
    } else {
      *datagram->add_news() = item.member;
    }
    if (++item.sent >= limit) finished.push_back(*name);
  }
  for (const std::string& name : finished) updates_.erase(name);
}

void GossipQueue::DropReachReports() {
  for (auto it = updates_.begin(); it != updates_.end();) {
    it = it->second.is_reachability ? updates_.erase(it) : std::next(it);
  }
}

}  // namespace quetzal
