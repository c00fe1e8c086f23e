#include "distribution/proxy_ack.h"

#include <algorithm>

namespace quetzal {

NodeAck ToMessage(const ProxyAck& ack, Duration age) {
  NodeAck message;
  message.set_instance(ack.instance);
  message.set_data_centre(ack.data_centre);
  message.set_stream_address(ack.stream_address);
  message.set_service(ack.service);
  message.set_incarnation(ack.incarnation);
  *message.mutable_held() = ack.applied_version;
  message.set_state(ack.state);
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
  message.set_age_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(millis, 0)));
  if (ack.refused_code != ResultCode::kOk) {
    message.set_refused_code(static_cast<std::uint32_t>(ack.refused_code));
    *message.mutable_refused() = ack.refused;
  }
  message.mutable_version_counts()->Assign(ack.version_counts.begin(),
                                           ack.version_counts.end());
  return message;
}

ProxyAck FromMessage(const NodeAck& message) {
  ProxyAck ack;
  ack.instance = message.instance();
  ack.data_centre = message.data_centre();
  ack.stream_address = message.stream_address();
  ack.service = message.service();
  ack.incarnation = message.incarnation();
  ack.applied_version = message.held();
  ack.state = message.state();
  ack.age = std::chrono::milliseconds(message.age_ms());
  if (message.refused_code() != 0) {
    ack.refused_code = ResultCodeFromInt(static_cast<int>(message.refused_code()));
    ack.refused = message.refused();
  }
  ack.version_counts.assign(message.version_counts().begin(),
                            message.version_counts().end());
  return ack;
}

}  // namespace quetzal
