#ifndef QUETZAL_CALLS_BACKEND_CALL_H_
#define QUETZAL_CALLS_BACKEND_CALL_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "calls/call_context.h"
#include "calls/call_headers.h"
#include "calls/serial_queue.h"
#include "kernel/executor.h"
#include "net/stream.h"

namespace quetzal {

/// One request on the admitting side: waits for a slot, goes to the own backend server
/// and gives its answer, or a typed refusal, to the forwarding node.
class BackendCall final : public StreamHandler,
                          public std::enable_shared_from_this<BackendCall> {
 public:
  /// Takes over an accepted stream with path kCallStreamPath.
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
  /// kGranted: holds a slot until the forwarding node confirms the request.
  enum class Phase { kNew, kWaiting, kGranted, kSent, kAnswering, kOver };

  void Start();
  bool keyed() const { return !head_.attempt_id.empty(); }
  Refusal Check();
  void OnVerdict(const AdmissionVerdict& verdict);
  void TellWaiting();
  void Grant();
  void ConfirmationOverdue();
  void SendInterim(const char* status);
  void Send();
  StreamHeaders BackendHeaders() const;

  void TakeBody(std::string bytes);
  void TakeBodyEnd();
  void PeerGone();
  void ReturnPeerCredit();

  void AnswerHeaders(const StreamHeaders& headers);
  void AnswerData(std::string bytes);
  void AnswerEnd();
  void AnswerCut(ResultCode code);
  void ReturnBackendCredit();
  void KeepAnswer(const std::string& bytes);

  void OutcomeOverdue();
  /// True when the answer that begins is none: it was refused, or is another request's.
  bool AnswerIsNone(const StreamHeaders& headers);
  void Refuse(ResultCode code, bool not_run, Duration retry_after);
  void EndAttempt(AttemptState state);
  void ReleaseSlot(bool answered);
  void Over();

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
  bool peer_gone_ = false;
  bool attempt_open_ = false;
  bool holds_slot_ = false;
  bool reached_server_ = false;
  std::uint64_t admission_id_ = 0;
  SteadyTime sent_at_;

  std::vector<std::string> body_;  ///< Came before a slot was free.
  bool body_ended_ = false;
  std::size_t owed_to_peer_ = 0;  ///< Credit held back until the backend server reads.

  std::optional<std::uint64_t> answer_length_;
  std::uint64_t answer_received_ = 0;
  bool answer_is_good_ = true;       ///< A quick error says nothing about the speed.
  std::size_t owed_to_backend_ = 0;  ///< Credit held back until the peer reads.
  KeyAnswer kept_;                   ///< Copy of the answer to a keyed request.
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_BACKEND_CALL_H_
