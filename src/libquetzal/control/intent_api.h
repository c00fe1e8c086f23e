#ifndef QUETZAL_CONTROL_INTENT_API_H_
#define QUETZAL_CONTROL_INTENT_API_H_

#include <string>
#include <vector>

#include "agreement/agreement.h"
#include "control.pb.h"
#include "control/control_service.h"
#include "control/intent_events.h"
#include "control/intent_machine.h"
#include "control/peer_lookup.h"
#include "control/report_json.h"
#include "kernel/executor.h"
#include "net/admin_server.h"
#include "net/rpc.h"

namespace quetzal {

/// The operators' HTTP interface of one control instance (docs/admin-api.md). A
/// request that only the leader can answer is forwarded to it, at most once. Handle may
/// be called from any thread; requests are processed on the executor.
class IntentApi {
 public:
  struct Dependencies {
    Agreement* agreement = nullptr;
    IntentMachine* machine = nullptr;
    ControlService* service = nullptr;
    RpcClient* rpc_client = nullptr;
    RpcServer* rpc_server = nullptr;
    Executor* executor = nullptr;
    const Clock* clock = nullptr;
    IntentEvents* events = nullptr;
  };

  IntentApi(Dependencies dependencies, std::string instance, std::string data_centre,
            PeerLookup peers);

  /// Serves requests that other control instances forward.
  void Start();

  void Handle(const AdminRequest& request, AdminReply reply);

 private:
  /// A request in progress; `forwarded` when another control instance forwarded it.
  struct Call {
    AdminRequest request;
    AdminReply reply;
    bool forwarded = false;
  };

  using Method = void (IntentApi::*)(const Call& call, const std::string& id);

  struct Route {
    const char* method;
    const char* pattern;  ///< "{id}" stands for one segment.
    Method handler;
  };

  static const std::vector<Route>& Routes();

  void Dispatch(const Call& call);
  void Declare(const Call& call, const std::string& id);
  void Confirm(const Call& call, const std::string& id);
  void Cancel(const Call& call, const std::string& id);
  void ShowIntent(const Call& call, const std::string& id);
  void ShowStatus(const Call& call, const std::string& id);
  void ShowHistory(const Call& call, const std::string& id);
  void ShowConfiguration(const Call& call, const std::string& id);
  void Explain(const Call& call, const std::string& id);
  void ExplainIntent(const Call& call, const std::string& id);
  void ShowRollouts(const Call& call, const std::string& id);
  void ShowControlInstances(const Call& call, const std::string& id);

  void Propose(const Call& call, const ControlEntry& entry, const std::string& event,
               const std::string& id);
  void OnProposed(const Call& call, ResultCode code, const std::string& bytes,
                  const std::string& event, const std::string& id);

  /// Runs `read` once the local state is current. Otherwise forwards the call to the
  /// leader, or replies with an error when that is not possible.
  void ReadCurrent(const Call& call, std::function<void()> read);
  void ForwardToLeader(const Call& call);
  ReportJson StatusJson() const;
  void AddConvergence(const IntentRecord& record, ReportJson* json) const;
  std::uint64_t WallMicros() const;

  Dependencies dependencies_;
  std::string instance_;
  std::string data_centre_;
  PeerLookup peers_;
};

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_INTENT_API_H_
