#include "control/order_content.h"

#include <iterator>

#include <xxhash.h>

#include "base/delta_compression.h"
#include "base/result_code.h"

namespace quetzal {
namespace {

constexpr std::size_t kMaxContentBytes = std::size_t{16} << 20;

}  // namespace

std::string DigestOfDocument(const std::string& document) {
  const XXH128_hash_t hash = XXH3_128bits(document.data(), document.size());
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, hash);
  return {std::begin(canonical.digest), std::end(canonical.digest)};
}

// The instance that packs may not have applied the whole log: a new leader applies the
// rest only once the first entry of its term is committed. Numbers grow along the log and
// name one content each, so the number tells whether the bytes compressed against are
// those that every instance has when it applies the order.
ReplaceConfiguration PackOrder(const ReplaceConfiguration& order,
                               const AppliedOrder& applied) {
  ReplaceConfiguration packed = order;
  packed.clear_content();
  // Refused or recognized as a resent one when it is applied, without its content.
  if (order.base() < applied.number) return packed;
  const bool is_base = order.base() == applied.number;
  packed.set_packed_content(
      CompressAgainst(is_base ? applied.content : std::string_view(), order.content()));
  return packed;
}

// A content that was packed without a base refers to none of its bytes, so one call
// decompresses both kinds.
std::string UnpackOrder(const ReplaceConfiguration& order, const AppliedOrder& applied,
                        ReplacedContent* content) {
  std::string bytes =
      DecompressAgainst(applied.content, order.packed_content(), kMaxContentBytes);
  if (!content->ParseFromString(bytes) ||
      DigestOfDocument(content->document()) != order.digest()) {
    throw Error(ResultCode::kMessageMalformed,
                "The content is not that of the order, so the order was not applied.");
  }
  return bytes;
}

}  // namespace quetzal
