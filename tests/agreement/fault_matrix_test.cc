#include <string>
#include <tuple>

#include <gtest/gtest.h>

#include "agreement/cluster.h"

namespace quetzal::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Step {
  const char* name;
  bool (*matches)(const StepView& view);
};

template <AgreementMessage::BodyCase body>
bool IsBody(const StepView& view) {
  return view.message != nullptr && view.message->body_case() == body;
}

template <LogEntryKind kind>
bool Carries(const StepView& view) {
  if (view.message == nullptr) return false;
  for (const LogEntry& it : view.message->append().entries()) {
    if (it.kind() == kind) return true;
  }
  return false;
}

bool IsHeartbeat(const StepView& view) {
  return IsBody<AgreementMessage::kAppend>(view) &&
         view.message->append().entries_size() == 0;
}

bool IsPreVote(const StepView& view) {
  return view.message != nullptr && view.message->vote().pre_vote();
}

bool IsVote(const StepView& view) {
  return IsBody<AgreementMessage::kVote>(view) && !view.message->vote().pre_vote();
}

const Step steps[] = {
    {"Hello", IsBody<AgreementMessage::kHello>},
    {"HelloReply", IsBody<AgreementMessage::kHelloReply>},
    {"PreVote", IsPreVote},
    {"Vote", IsVote},
    {"VoteReply", IsBody<AgreementMessage::kVoteReply>},
    {"Heartbeat", IsHeartbeat},
    {"AppendCommand", Carries<LOG_ENTRY_COMMAND>},
    {"AppendMembership", Carries<LOG_ENTRY_MEMBERSHIP>},
    {"AppendReply", IsBody<AgreementMessage::kAppendReply>},
    {"Sync", [](const StepView& view) { return view.message == nullptr; }},
    {"SnapshotChunk", IsBody<AgreementMessage::kSnapshot>},
    {"SnapshotReply", IsBody<AgreementMessage::kSnapshotReply>},
    {"Handover", IsBody<AgreementMessage::kHandover>},
    {"Read", IsBody<AgreementMessage::kRead>},
    {"ReadReply", IsBody<AgreementMessage::kReadReply>},
};

struct Fault {
  const char* name;
  /// Returns true to suppress the step, or to postpone it.
  bool (*inject)(Cluster* cluster, const StepView& view);
};

template <CrashKind kind>
bool CrashTarget(Cluster* cluster, const StepView& view) {
  cluster->Crash(view.target, kind);
  return true;
}

bool Drop(Cluster* cluster, const StepView& view) {
  // A sync cannot be lost, only delayed.
  if (view.message == nullptr) cluster->Redeliver(view, seconds(3));
  return true;
}

bool Duplicate(Cluster* cluster, const StepView& view) {
  cluster->Redeliver(view, milliseconds(700));
  return false;
}

bool Delay(Cluster* cluster, const StepView& view) {
  cluster->Redeliver(view, seconds(2));
  return true;
}

bool PauseTarget(Cluster* cluster, const StepView& view) {
  cluster->Redeliver(view, milliseconds(5));
  cluster->Pause(view.target, true);
  return true;
}

bool PauseSender(Cluster* cluster, const StepView& view) {
  cluster->Pause(view.from, true);
  return false;
}

bool CutReturnPath(Cluster* cluster, const StepView& view) {
  cluster->Cut(view.target, view.from);
  return false;
}

bool IsolateTarget(Cluster* cluster, const StepView& view) {
  cluster->Isolate(view.target);
  return false;
}

bool IsolateSender(Cluster* cluster, const StepView& view) {
  cluster->Isolate(view.from);
  return false;
}

bool FillDisk(Cluster* cluster, const StepView& view) {
  cluster->SetDiskFull(view.target, true);
  return false;
}

bool CrashSender(Cluster* cluster, const StepView& view) {
  cluster->Crash(view.from, CrashKind::kBeforeSync);
  return false;
}

const Fault faults[] = {
    {"Lost", Drop},
    {"Duplicated", Duplicate},
    {"Delayed", Delay},
    {"CrashBeforeSync", CrashTarget<CrashKind::kBeforeSync>},
    {"CrashAfterSync", CrashTarget<CrashKind::kAfterSync>},
    {"CrashDuringSync", CrashTarget<CrashKind::kDuringSync>},
    {"FolderLost", CrashTarget<CrashKind::kLostDisk>},
    {"SenderCrash", CrashSender},
    {"Paused", PauseTarget},
    {"SenderPaused", PauseSender},
    {"ReturnPathCut", CutReturnPath},
    {"Isolated", IsolateTarget},
    {"SenderIsolated", IsolateSender},
    {"DiskFull", FillDisk},
};

using Cell = std::tuple<Fault, Step>;

class AgreementFaultMatrix : public ::testing::TestWithParam<Cell> {
 protected:
  /// Covers bootstrap, commands, an instance that lags so far that it needs a snapshot, a
  /// read, a new instance, a handover, a crash of the leader and a removal.
  static void RunWorkload(Cluster* cluster) {
    const auto leader = [cluster] {
      cluster->RunUntil([cluster] { return cluster->LeaseHolder().has_value(); },
                        seconds(3));
      return cluster->LeaseHolder().value_or(0);
    };
    const auto propose = [&](int commands) {
      for (int n = 0; n < commands; ++n) {
        cluster->Propose(leader());
        cluster->Run(milliseconds(20));
      }
    };
    propose(3);
    const std::size_t lagging = (leader() + 1) % 3;
    cluster->Crash(lagging, CrashKind::kAfterSync);
    propose(4);
    cluster->Compact(leader());
    cluster->Restart(lagging);
    cluster->Run(seconds(1));
    cluster->Read((leader() + 1) % 3);
    cluster->Run(milliseconds(100));
    const std::size_t added = cluster->AddInstance();
    cluster->ChangeMembership(leader(), true, added);
    cluster->Run(seconds(1));
    cluster->Handover(leader());
    propose(2);
    const std::size_t crashed = leader();
    cluster->Crash(crashed, CrashKind::kBeforeSync);
    cluster->Run(seconds(2));
    cluster->Restart(crashed);
    propose(1);
    cluster->ChangeMembership(leader(), false, added);
    propose(2);
    cluster->Run(seconds(10));
  }
};

TEST_P(AgreementFaultMatrix, KeepsEveryInvariant) {
  const auto& [fault, step] = GetParam();
  for (int skipped : {0, 1, 3}) {
    Cluster cluster(3, 11 + skipped, TestOptions());
    int seen = 0;
    cluster.hook = [&, fault = fault, step = step](const StepView& view) {
      if (!step.matches(view) || seen++ != skipped) return false;
      return fault.inject(&cluster, view);
    };
    RunWorkload(&cluster);
    const std::string place = "after " + std::to_string(skipped) + " of " + step.name;
    ASSERT_TRUE(skipped > 0 || seen > 0) << "the step did not occur";
    ASSERT_TRUE(cluster.Converges()) << place << "\n" << cluster.Describe();
    ASSERT_TRUE(cluster.violations().empty()) << place << cluster.violations().front();
  }
}

INSTANTIATE_TEST_SUITE_P(Cells, AgreementFaultMatrix,
                         ::testing::Combine(::testing::ValuesIn(faults),
                                            ::testing::ValuesIn(steps)),
                         [](const ::testing::TestParamInfo<Cell>& info) {
                           return std::string(std::get<0>(info.param).name) +
                                  std::get<1>(info.param).name;
                         });

}  // namespace
}  // namespace quetzal::testing
