#ifndef QUETZAL_CALLS_VIA_HEADER_H_
#define QUETZAL_CALLS_VIA_HEADER_H_

#include <string>
#include <string_view>

#include "base/result_code.h"
#include "net/stream.h"

namespace quetzal {

/// Entry that a node appends to the via field: the service, and a hash of method, path
/// and key.
std::string MakeViaEntry(std::string_view service, std::string_view method,
                         std::string_view path, std::string_view key);

/// Returns `via` with one more entry.
std::string AppendViaEntry(std::string_view via, std::string_view entry);

/// Returns kHopLimit when the request has passed `hop_limit` nodes, and kLoop when
/// an identical request has passed this service before: once if it is keyed, since it
/// would wait for itself, and more than kMaxSameEntries times otherwise.
ResultCode CheckForwardingLoop(std::string_view via, int hops, std::string_view entry,
                               bool keyed, int hop_limit);

/// Number of nodes passed so far; 0 when `text` is malformed.
int ParseHops(std::string_view text);

/// Host of the request: the host field, or else :authority.
std::string CallHost(const StreamHeaders& headers);

}  // namespace quetzal

#endif  // QUETZAL_CALLS_VIA_HEADER_H_
