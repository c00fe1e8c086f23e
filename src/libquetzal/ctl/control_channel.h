#ifndef QUETZAL_CTL_CONTROL_CHANNEL_H_
#define QUETZAL_CTL_CONTROL_CHANNEL_H_

#include <optional>
#include <string>

#include "base/clock.h"
#include "base/settings.h"

namespace quetzal {

/// Sends requests to the operators' interface of a control instance.
class ControlChannel {
 public:
  virtual ~ControlChannel() = default;

  /// Returns the body of the answer, or nothing when none came within `timeout`; the
  /// request may have run then. The request may be sent more than once.
  virtual std::optional<std::string> Send(const Endpoint& control_instance,
                                          const std::string& method,
                                          const std::string& path_and_query,
                                          const std::string& body, Duration timeout) = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_CTL_CONTROL_CHANNEL_H_
