#include "calls/crash_report.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace quetzal {

std::uint32_t HashOfSoftware(const std::string& service, const std::string& version) {
  const std::string text = service + '\n' + version;
  return XXH32(text.data(), text.size(), 0);
}

void KeepRequests(const std::function<bool(const RequestFingerprint& request)>& keep,
                  CrashReport* crash) {
  std::vector<RequestFingerprint> kept;
  std::size_t on_trial = 0;
  for (std::size_t n = 0; n < crash->requests.size(); ++n) {
    if (!keep(crash->requests[n])) continue;
    kept.push_back(crash->requests[n]);
    if (n < crash->on_trial) ++on_trial;
  }
  crash->requests = std::move(kept);
  crash->on_trial = on_trial;
}

ServerCrash ToMessage(const CrashReport& crash) {
  ServerCrash message;
  message.set_id(crash.id);
  for (const RequestFingerprint& request : crash.requests) {
    message.add_heads(request.head);
    message.add_digests(request.digest);
  }
  message.set_on_trial(static_cast<std::uint32_t>(crash.on_trial));
  message.set_software(crash.software);
  return message;
}

CrashReport FromMessage(const ServerCrash& message, const std::string& instance) {
  CrashReport crash;
  crash.id = message.id();
  crash.instance = instance;
  crash.on_trial = message.on_trial();
  crash.software = message.software();
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
