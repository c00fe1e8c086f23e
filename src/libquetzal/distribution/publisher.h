#ifndef QUETZAL_DISTRIBUTION_PUBLISHER_H_
#define QUETZAL_DISTRIBUTION_PUBLISHER_H_

#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/event_log.h"
#include "base/random.h"
#include "configuration.pb.h"
#include "distribution/fanout.h"
#include "distribution/proxy_ack.h"
#include "kernel/executor.h"
#include "net/rpc.h"

namespace quetzal {

/// Sends the confirmed configurations to subscribers, on every control instance.
/// Thread-safe; its work runs on the executor.
class Publisher {
 public:
  /// Calls its argument with true once the local state machine has applied everything
  /// committed before the call (Agreement::ReadBarrier), or with false on failure. May
  /// call back from any thread.
  using Barrier = std::function<void(std::function<void(bool)>)>;
  using AckSink = std::function<void(const ProxyAck&)>;  ///< Called on the executor.

  struct Dependencies {
    MessageChannels* channels = nullptr;
    Executor* executor = nullptr;
    const Clock* clock = nullptr;
    Random* random = nullptr;  ///< Used on the executor only.
    EventLog* events = nullptr;
  };

  Publisher(std::string instance, FanoutSettings settings, Dependencies dependencies,
            Barrier barrier, AckSink on_ack);
  ~Publisher();

  /// Accepts subscribers from now on.
  void Start();

  /// Publishes a confirmed configuration; ignores one that is not later than the last.
  void Publish(const Version& version,
               std::shared_ptr<const Configuration> configuration);

  /// Sets whether this control instance is in contact with its quorum.
  void SetQuorumBacked(bool quorum_backed);

  /// Closes all sessions.
  void Stop();

  std::size_t sessions() const;
  std::uint64_t bytes_sent() const;

 private:
  class Core;
  std::shared_ptr<Core> core_;
};

}  // namespace quetzal

#endif  // QUETZAL_DISTRIBUTION_PUBLISHER_H_
