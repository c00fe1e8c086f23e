#include "distribution/down_message.h"

#include "base/delta_compression.h"
#include "base/result_code.h"

namespace quetzal {
namespace {

/// A smaller message fits into a few packets, where compression saves no transfer time.
constexpr std::size_t kMinCompressedBytes = std::size_t{4} * 1024;

/// Bounds decompression: several times the largest configuration that the limits allow.
constexpr std::size_t kMaxUpdateBytes = std::size_t{64} * 1024 * 1024;

}  // namespace

// A relay sends each update once to each of its subscribers, over a link that its
// requests share: on slow links the size of an update decides how soon it is applied.
std::string EncodeDown(const DownMessage& message) {
  const std::string update =
      message.has_update() ? message.update().SerializeAsString() : std::string();
  if (update.size() < kMinCompressedBytes) return message.SerializeAsString();
  DownMessage packed;
  packed.set_packed_update(CompressAgainst({}, update));
  return packed.SerializeAsString();
}

bool DecodeDown(const std::string& bytes, DownMessage* message) {
  if (!message->ParseFromString(bytes)) return false;
  if (message->kind_case() != DownMessage::kPackedUpdate) return true;
  try {
    const std::string update =
        DecompressAgainst({}, message->packed_update(), kMaxUpdateBytes);
    return message->mutable_update()->ParseFromString(update);
  } catch (const Error&) {
    return false;
  }
}

}  // namespace quetzal
