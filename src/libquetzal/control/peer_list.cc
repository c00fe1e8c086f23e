#include "control/peer_list.h"

#include <sstream>

#include "base/concat.h"
#include "base/result_code.h"
#include "configuration/configuration_check.h"

namespace quetzal {
namespace {

/// Returns an empty text when the entry was added, otherwise the error.
std::string AddPeer(const std::string& entry, std::map<std::string, Endpoint>* peers) {
  const std::size_t equals = entry.find('=');
  if (equals == std::string::npos) return Concat("'", entry, "' is not name=ip:port");
  const std::string name = entry.substr(0, equals);
  if (!IsLegalName(name)) return Concat("'", name, "' is not a legal name");
  try {
    const Endpoint endpoint = ParseEndpoint(entry.substr(equals + 1));
    if (!peers->emplace(name, endpoint).second) {
      return Concat("'", name, "' is listed twice");
    }
  } catch (const Error& error) {
    return error.what();
  }
  return "";
}

}  // namespace

std::map<std::string, Endpoint> ParsePeers(const std::string& text,
                                           const std::string& self) {
  std::map<std::string, Endpoint> peers;
  std::string errors;
  std::istringstream stream(text);
  for (std::string entry; std::getline(stream, entry, ',');) {
    if (entry.empty()) continue;
    const std::string fault = AddPeer(entry, &peers);
    if (!fault.empty()) errors += Concat(errors.empty() ? "" : "; ", fault);
  }
  peers.erase(self);
  if (peers.size() + 1 > kMaxControlInstances) {
    errors += Concat(errors.empty() ? "" : "; ", "more than ", kMaxControlInstances,
                     " control instances");
  }
  if (!errors.empty()) throw Error(ResultCode::kSettingsInvalid, errors);
  return peers;
}

}  // namespace quetzal
