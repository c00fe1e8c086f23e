#ifndef QUETZAL_KEYS_KEY_HOLDER_SERVICE_H_
#define QUETZAL_KEYS_KEY_HOLDER_SERVICE_H_

#include <memory>
#include <mutex>
#include <string>

#include "base/event_log.h"
#include "kernel/executor.h"
#include "keys/key_acceptor.h"
#include "net/rpc.h"

namespace quetzal {

/// RPC methods between instances.
inline constexpr char kKeyPrepareMethod[] = "/keys/prepare";
inline constexpr char kKeyAcceptMethod[] = "/keys/accept";
inline constexpr char kKeyCopyMethod[] = "/keys/copy";
inline constexpr char kKeyStatusMethod[] = "/keys/status";

/// Serves the records that this instance holds and copies missing ones from other
/// holders. Thread-safe: one mutex guards the acceptor and is never locked while another
/// component is called.
class KeyHolderService : public std::enable_shared_from_this<KeyHolderService> {
 public:
  KeyHolderService(std::string instance, std::uint64_t incarnation,
                   const KeyAcceptorOptions& options, RpcClient* client,
                   Executor* executor, const Clock* clock, EventLog* events);

  /// Registers the RPC methods at `server` and starts the timers. Calls that arrive after
  /// this object is destroyed are answered with kNodeStopping.
  void Start(RpcServer* server);

  /// Adopts the key groups of the active configuration.
  void SetConfiguration(const Configuration& configuration);

  KeyVoteReply Prepare(const KeyPrepare& message);
  KeyVoteReply Accept(const KeyAccept& message);
  KeyCopyReply Copy(const KeyCopyRequest& message);
  KeyStatusReply Status(const KeyStatusRequest& message);

  bool holds_any_group() const;
  std::size_t record_count() const;
  std::size_t record_bytes() const;

 private:
  void Maintain();
  bool PickCopy(KeyGroupName* group, KeyHolder* source);
  void CopyPart(const KeyGroupName& group, const KeyHolder& source,
                std::string after_key);
  void OnCopyPart(const KeyGroupName& group, const KeyHolder& source, ResultCode code,
                  const std::string& body);

  std::string instance_;
  RpcClient* client_;
  Executor* executor_;
  EventLog* events_;
  std::unique_ptr<Timer> timer_;
  mutable std::mutex mutex_;
  KeyAcceptor acceptor_;
  bool copying_ = false;
  std::uint64_t next_copy_ = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_KEYS_KEY_HOLDER_SERVICE_H_
