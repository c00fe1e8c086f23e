#ifndef QUETZAL_BASE_DELTA_COMPRESSION_H_
#define QUETZAL_BASE_DELTA_COMPRESSION_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace quetzal {

/// `bytes` compressed by what they share with `base`, which the reader must hold too.
/// Throws Error(kInternalError).
std::string CompressAgainst(std::string_view base, std::string_view bytes);

/// Undoes CompressAgainst. Throws Error(kMessageMalformed) when `compressed` cannot be
/// read or holds more than `max_bytes`.
std::string DecompressAgainst(std::string_view base, std::string_view compressed,
                              std::size_t max_bytes);

}  // namespace quetzal

#endif  // QUETZAL_BASE_DELTA_COMPRESSION_H_
