#include "base/delta_compression.h"

#include <zstd.h>

#include <memory>

#include "base/result_code.h"

namespace quetzal {
namespace {

/// Higher levels take longer and save little, because most of the bytes match the base.
constexpr int kCompressionLevel = 3;

/// Base-2 logarithms of the window size: 1 KiB to 128 MiB, the range that the zstd format
/// supports on all machines.
constexpr int kMinWindowLog = 10;
constexpr int kMaxWindowLog = 27;

struct FreeContext {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

/// Returns the logarithm of the smallest window that spans both `base` and `bytes`.
int WindowLog(std::string_view base, std::string_view bytes) {
  int log = kMinWindowLog;
  while (log < kMaxWindowLog && (std::size_t{1} << log) < base.size() + bytes.size()) {
    ++log;
  }
  return log;
}

}  // namespace

std::string CompressAgainst(std::string_view base, std::string_view bytes) {
  const std::unique_ptr<ZSTD_CCtx, FreeContext> context(ZSTD_createCCtx());
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kCompressionLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, WindowLog(base, bytes));
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
  std::string out(ZSTD_compressBound(bytes.size()), '\0');
  const std::size_t n =
      ZSTD_compress2(context.get(), out.data(), out.size(), bytes.data(), bytes.size());
  if (ZSTD_isError(n) != 0) {
    throw Error(ResultCode::kInternalError,
                std::string("compression failed: ") + ZSTD_getErrorName(n));
  }
  out.resize(n);
  return out;
}

std::string DecompressAgainst(std::string_view base, std::string_view compressed,
                              std::size_t max_bytes) {
  const unsigned long long size =  // NOLINT(google-runtime-int): the library's type
      ZSTD_getFrameContentSize(compressed.data(), compressed.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN ||
      size > max_bytes) {
    throw Error(ResultCode::kMessageMalformed,
                "the decompressed size is unknown or exceeds the limit");
  }
  const std::unique_ptr<ZSTD_DCtx, FreeContext> context(ZSTD_createDCtx());
  ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  std::string out(size, '\0');
  const std::size_t n = ZSTD_decompressDCtx(context.get(), out.data(), out.size(),
                                            compressed.data(), compressed.size());
  if (ZSTD_isError(n) != 0 || n != size) {
    throw Error(ResultCode::kMessageMalformed,
                "the compressed bytes are corrupt or do not match the base");
  }
  return out;
}

}  // namespace quetzal
