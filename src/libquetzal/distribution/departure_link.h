#ifndef QUETZAL_DISTRIBUTION_DEPARTURE_LINK_H_
#define QUETZAL_DISTRIBUTION_DEPARTURE_LINK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/settings.h"
#include "kernel/executor.h"
#include "membership.pb.h"
#include "net/rpc.h"

namespace quetzal {

/// RPC method of the control instances: a DepartureRequest, answered by a
/// DepartureAnswer.
constexpr char kDeparturesMethod[] = "/control/departures";

/// Records in the log of the control instances which backend servers of this node have
/// left, and learns from it what earlier processes of this node have recorded. All
/// functions must be called on the executor.
class DepartureLink : public std::enable_shared_from_this<DepartureLink> {
 public:
  struct Dependencies {
    RpcClient* rpc_client = nullptr;
    Executor* executor = nullptr;

    /// Stream addresses of the control instances.
    std::function<std::vector<Endpoint>()> control_instances;

    /// Receives each departure that the log holds, also those that are known.
    std::function<void(const ServerDeparture&)> on_departure;

    /// Called after each answer.
    std::function<void()> on_answer;
  };

  DepartureLink(std::string instance, Dependencies dependencies)
      : instance_(std::move(instance)),
        dependencies_(std::move(dependencies)),
        next_target_(std::hash<std::string>()(instance_)) {}

  /// Asks a control instance if something is to be recorded or learned, one at a time and
  /// another one after each failure. Call regularly.
  void Tick();

  /// From now on `departure` is to be recorded, in place of the last one.
  void Record(const ServerDeparture& departure);

  /// True when the log has told what earlier processes have recorded.
  bool learned() const { return learned_; }

  /// True when the log holds `departure`.
  bool IsRecorded(const ServerDeparture& departure) const;

  void Stop() { stopped_ = true; }

 private:
  void OnReply(ResultCode code, const std::string& body);

  const std::string instance_;
  const Dependencies dependencies_;
  ServerDeparture due_;
  std::map<std::string, std::int64_t> recorded_;  ///< Latest start by server.
  std::size_t next_target_;                       ///< Nodes begin with different ones.
  bool learned_ = false;
  bool asked_ = false;  ///< A request is under way.
  bool stopped_ = false;
};

}  // namespace quetzal

#endif  // QUETZAL_DISTRIBUTION_DEPARTURE_LINK_H_
