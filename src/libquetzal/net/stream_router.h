#ifndef QUETZAL_NET_STREAM_ROUTER_H_
#define QUETZAL_NET_STREAM_ROUTER_H_

#include <map>
#include <memory>
#include <shared_mutex>
#include <string>

#include "net/stream.h"

namespace quetzal {

/// Dispatches accepted streams to the handler of their path. Thread-safe.
class StreamRouter {
 public:
  using Route = std::function<std::shared_ptr<StreamHandler>(
      const StreamHeaders& headers, std::shared_ptr<Stream> stream)>;

  /// Sets the route of `path`, replacing an earlier one.
  void Handle(const std::string& path, Route route);

  /// Returns an acceptor for StreamTransport::Listen; the router must outlive the
  /// transport.
  StreamAcceptor acceptor();

 private:
  std::shared_mutex mutex_;
  std::map<std::string, Route> routes_;
};

}  // namespace quetzal

#endif  // QUETZAL_NET_STREAM_ROUTER_H_
