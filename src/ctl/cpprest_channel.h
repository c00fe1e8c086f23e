#ifndef QUETZAL_CTL_CPPREST_CHANNEL_H_
#define QUETZAL_CTL_CPPREST_CHANNEL_H_

#include <optional>
#include <string>

#include "ctl/control_channel.h"

namespace quetzal {

/// Sends requests with the HTTP client of cpprestsdk. That client resends a request by
/// itself when a kept-alive connection closes without an answer; the intent id makes this
/// harmless.
class CpprestChannel final : public ControlChannel {
 public:
  std::optional<std::string> Send(const Endpoint& control_instance,
                                  const std::string& method,
                                  const std::string& path_and_query,
                                  const std::string& body, Duration timeout) override;
};

}  // namespace quetzal

#endif  // QUETZAL_CTL_CPPREST_CHANNEL_H_
