#include "calls/crash_report.h"

#include <algorithm>

namespace quetzal {

ServerCrash ToMessage(const CrashReport& crash) {
  ServerCrash message;
  message.set_id(crash.id);
  for (const RequestFingerprint& request : crash.requests) {
    message.add_heads(request.head);
    message.add_digests(request.digest);
  }
  return message;
}

CrashReport FromMessage(const ServerCrash& message) {
  CrashReport crash;
  crash.id = message.id();
  const int count = std::min(message.heads_size(), message.digests_size());
  for (int n = 0; n < count; ++n) {
    crash.requests.push_back({message.heads(n), message.digests(n)});
  }
  return crash;
}

CrashAcquittal ToMessage(const Acquittal& acquittal) {
  CrashAcquittal message;
  message.set_digest(acquittal.digest);
  for (const std::uint64_t crash : acquittal.crashes) message.add_crashes(crash);
  return message;
}

Acquittal FromMessage(const CrashAcquittal& message) {
  return {message.digest(), {message.crashes().begin(), message.crashes().end()}};
}

}  // namespace quetzal
