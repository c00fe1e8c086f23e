#include "agreement/raft_output.h"

namespace quetzal {

const char* NameOf(CoreEventKind kind) {
  switch (kind) {
    case CoreEventKind::kElectionStarted:
      return "leader.election_started";
    case CoreEventKind::kElected:
      return "leader.elected";
    case CoreEventKind::kSteppedDown:
      return "leader.stepped_down";
    case CoreEventKind::kQuorumLost:
      return "leader.quorum_lost";
    case CoreEventKind::kReplicaAdmitted:
      return "agreement.replica_admitted";
    case CoreEventKind::kReplicaPromoted:
      return "agreement.replica_promoted";
    case CoreEventKind::kReplicaReplaced:
      return "agreement.replica_replaced";
    case CoreEventKind::kFolderLost:
      return "agreement.folder_lost";
    case CoreEventKind::kSnapshotInstalled:
      return "agreement.snapshot_installed";
    case CoreEventKind::kGroupBootstrapped:
      return "agreement.founded";
  }
  return "agreement.unknown";
}

}  // namespace quetzal
