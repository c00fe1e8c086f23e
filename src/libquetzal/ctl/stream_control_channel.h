#ifndef QUETZAL_CTL_STREAM_CONTROL_CHANNEL_H_
#define QUETZAL_CTL_STREAM_CONTROL_CHANNEL_H_

#include <optional>
#include <string>

#include "ctl/control_channel.h"
#include "net/stream.h"

namespace quetzal {

/// Sends requests over a stream transport. Keeps at most 16 MiB of an answer; a longer
/// one counts as none.
class StreamControlChannel final : public ControlChannel {
 public:
  explicit StreamControlChannel(StreamTransport* transport) : transport_(transport) {}

  std::optional<std::string> Send(const Endpoint& control_instance,
                                  const std::string& method,
                                  const std::string& path_and_query,
                                  const std::string& body, Duration timeout) override;

 private:
  StreamTransport* const transport_;
};

}  // namespace quetzal

#endif  // QUETZAL_CTL_STREAM_CONTROL_CHANNEL_H_
