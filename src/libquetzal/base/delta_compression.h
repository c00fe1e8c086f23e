#ifndef QUETZAL_BASE_DELTA_COMPRESSION_H_
#define QUETZAL_BASE_DELTA_COMPRESSION_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace quetzal {

/// Compresses `bytes` relative to `base`, which decompression needs too. Throws
/// Error(kInternalError).
std::string CompressAgainst(std::string_view base, std::string_view bytes);

/// Reverses CompressAgainst. Throws Error(kMessageMalformed) when `compressed` is
/// corrupt, `base` is another one than `compressed` refers to, or the result exceeds
/// `max_bytes`.
std::string DecompressAgainst(std::string_view base, std::string_view compressed,
                              std::size_t max_bytes);

}  // namespace quetzal

#endif  // QUETZAL_BASE_DELTA_COMPRESSION_H_
