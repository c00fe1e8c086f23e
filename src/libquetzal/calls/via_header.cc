#include "calls/via_header.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>

#include <xxhash.h>

#include "calls/call_headers.h"

namespace quetzal {
namespace {

/// Call chains between services are up to nine deep, so an identical request may
/// legitimately pass that often.
constexpr int kMaxSameEntries = 9;
constexpr std::uint64_t kMaxHops = 1'000'000;

int CountEntries(std::string_view via, std::string_view entry) {
  int count = 0;
  while (!via.empty()) {
    const std::size_t comma = via.find(',');
    if (via.substr(0, comma) == entry) ++count;
    if (comma == std::string_view::npos) break;
    via.remove_prefix(comma + 1);
  }
  return count;
}

}  // namespace

std::string MakeViaEntry(std::string_view service, std::string_view method,
                         std::string_view path, std::string_view key) {
  std::uint64_t hash = XXH3_64bits(method.data(), method.size());
  hash = XXH3_64bits_withSeed(path.data(), path.size(), hash);
  hash = XXH3_64bits_withSeed(key.data(), key.size(), hash);
  char text[20];
  std::snprintf(text, sizeof(text), "/%012llx",
                static_cast<unsigned long long>(hash & 0xffffffffffffULL));  // NOLINT
  return std::string(service) + text;
}

std::string AppendViaEntry(std::string_view via, std::string_view entry) {
  std::string extended(via);
  if (!extended.empty()) extended += ',';
  return extended.append(entry);
}

ResultCode CheckForwardingLoop(std::string_view via, int hops, std::string_view entry,
                               bool keyed, int hop_limit) {
  if (hops >= hop_limit) return ResultCode::kHopLimit;
  const int allowed = keyed ? 0 : kMaxSameEntries;
  return CountEntries(via, entry) > allowed ? ResultCode::kLoop : ResultCode::kOk;
}

int ParseHops(std::string_view text) {
  return static_cast<int>(ParseNumber(text, kMaxHops).value_or(0));
}

std::string CallHost(const StreamHeaders& headers) {
  const auto host = HeaderValue(headers, "host");
  return std::string(host.empty() ? HeaderValue(headers, ":authority") : host);
}

}  // namespace quetzal
