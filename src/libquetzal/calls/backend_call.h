#ifndef QUETZAL_CALLS_BACKEND_CALL_H_
#define QUETZAL_CALLS_BACKEND_CALL_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "calls/call_context.h"
#include "calls/call_dialect.h"
#include "calls/call_headers.h"
#include "calls/serial_queue.h"
#include "kernel/executor.h"
#include "net/stream.h"

namespace quetzal {

/// One request on the admitting side: queues for a slot, sends the request to the local
/// backend server and returns its answer, or a typed refusal, to the coordinating node.
class BackendCall final : public StreamHandler,
                          public std::enable_shared_from_this<BackendCall> {
 public:
  /// Handles an accepted stream with path kCallStreamPath.
  static std::shared_ptr<StreamHandler> Accept(
      const std::shared_ptr<CallContext>& context, const StreamHeaders& headers,
      std::shared_ptr<Stream> peer);

  BackendCall(std::shared_ptr<CallContext> context, CallHead head, StreamHeaders fields,
              std::shared_ptr<Stream> peer);

  void OnHeaders(StreamHeaders headers) override;
  void OnData(std::string_view bytes) override;
  void OnEnd() override;
  void OnReset(ResultCode code) override;
  void OnWritable() override;

 private:
  class BackendHandler;
  /// kGranted: holds a slot until the coordinating node confirms the request.
  enum class Phase { kNew, kQueued, kGranted, kSent, kAnswering, kEnded };

  void Start();
  bool keyed() const { return !head_.attempt_id.empty(); }
  Refusal Check();
  bool HasOutdatedSender() const;
  void OnDecision(const AdmissionDecision& decision);
  void SendQueuedStatus();
  void RequestConfirmation();
  void OnConfirmationTimeout();
  void SendInterim(const char* status);
  void SendRequest();
  StreamHeaders BackendHeaders() const;

  void OnBodyData(std::string bytes);
  void OnBodyEnd();
  void OnPeerDisconnected();
  void ReturnPeerCredit();

  void OnAnswerHeaders(const StreamHeaders& headers);
  void OnAnswerData(std::string bytes);
  void OnAnswerEnd();
  void OnAnswerCut(ResultCode code);
  void ReturnBackendCredit();
  void KeepAnswer(const std::string& bytes);

  void OnOutcomeTimeout();
  /// Reports a request that the server has begun to run, if its whole identity is known.
  void ReportCut();
  RequestIdentity Identity() const;
  CrashVerdict JudgeCrash() const;
  /// False when a suspected request may not run on the local server now.
  bool BeginTrial(const LocalBackendServer& server);
  void EndTrial(bool finished);
  /// Handles a response that is not an answer to this request: a refusal by the server,
  /// or the answer to another request. False for an answer.
  bool HandleNonAnswer(const AnswerMetadata& metadata);
  void ApplyServerNotices(const AnswerMetadata& metadata);
  void Refuse(ResultCode code, bool not_run, Duration retry_after);
  void EndAttempt(AttemptState state);
  void ReleaseSlot(bool answered);
  void EndCall();

  const std::shared_ptr<CallContext> context_;
  const CallHead head_;
  const StreamHeaders fields_;
  const std::string request_id_;  ///< As the caller states it; may be empty.
  const SteadyTime deadline_;
  SerialQueue queue_;
  std::shared_ptr<Stream> peer_;
  std::shared_ptr<Stream> backend_;
  std::unique_ptr<Timer> timer_;
  Phase phase_ = Phase::kNew;
  bool peer_disconnected_ = false;
  bool attempt_open_ = false;
  bool holds_slot_ = false;
  bool reached_server_ = false;
  std::uint64_t admission_id_ = 0;
  SteadyTime sent_at_;
  std::string server_id_;       ///< Of the server process that the request was sent to.
  std::uint32_t software_ = 0;  ///< HashOfSoftware of that process.
  std::optional<RequestTrials::Run> trial_;

  std::vector<std::string> body_;  ///< Received before a slot was free.
  std::string identified_body_;    ///< The part that counts for the fingerprint.
  bool body_ended_ = false;
  std::size_t peer_credit_ = 0;  ///< Withheld until the backend server reads.

  std::optional<std::uint64_t> answer_length_;
  std::uint64_t answer_received_ = 0;
  bool answer_is_success_ = true;   ///< Errors may be quick: they give no service time.
  std::size_t backend_credit_ = 0;  ///< Withheld until the peer reads.
  KeyAnswer kept_;                  ///< Copy of the answer to a keyed request.
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_BACKEND_CALL_H_
