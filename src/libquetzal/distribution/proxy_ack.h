#ifndef QUETZAL_DISTRIBUTION_PROXY_ACK_H_
#define QUETZAL_DISTRIBUTION_PROXY_ACK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result_code.h"
#include "configuration.pb.h"
#include "distribution.pb.h"
#include "membership.pb.h"

namespace quetzal {

/// The last report of one node, as a control instance received it.
struct ProxyAck {
  std::string instance;
  std::string data_centre;
  std::string stream_address;
  std::string service;
  std::uint64_t incarnation = 0;
  Version applied_version;
  MemberState state = MEMBER_ALIVE;
  Duration age{0};                            ///< Time since the node made the report.
  ResultCode refused_code = ResultCode::kOk;  ///< Why it refused version `refused`.
  Version refused;
  std::vector<VersionCounts> version_counts;
};

/// Converts an acknowledgement to a message and back. `age` is the age of the report, in
/// whole milliseconds in the message; a negative one counts as 0.
NodeAck ToMessage(const ProxyAck& ack, Duration age);
ProxyAck FromMessage(const NodeAck& message);

}  // namespace quetzal

#endif  // QUETZAL_DISTRIBUTION_PROXY_ACK_H_
