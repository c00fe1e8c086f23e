#include "plugins/log_file/journal_frame.h"

#include <cstring>
#include <optional>

#include <xxhash.h>

#include "base/result_code.h"

namespace quetzal {
namespace {

constexpr std::uint32_t kMagic = 0x4c4a5a51;  // "QZJL"

struct Header {
  std::uint32_t magic = kMagic;
  std::uint32_t kind = 0;
  std::uint64_t length = 0;
  std::uint64_t number = 0;
  std::uint64_t checksum = 0;
};
static_assert(sizeof(Header) == kFrameHeaderBytes, "the header has no padding");

std::uint64_t ChecksumOf(Header header, std::string_view payload, std::uint64_t seed) {
  header.checksum = XXH64(payload.data(), payload.size(), seed);
  return XXH64(&header, sizeof(header), seed);
}

std::optional<JournalFrame> ReadFrame(std::string_view bytes, std::uint64_t offset,
                                      std::uint64_t seed) {
  if (bytes.size() - offset < kFrameHeaderBytes) return std::nullopt;
  Header header;
  std::memcpy(&header, bytes.data() + offset, sizeof(header));
  if (header.magic != kMagic) return std::nullopt;
  if (header.length > bytes.size() - offset - kFrameHeaderBytes) return std::nullopt;
  const auto payload = bytes.substr(offset + kFrameHeaderBytes, header.length);
  if (ChecksumOf(header, payload, seed) != header.checksum) return std::nullopt;
  return JournalFrame{static_cast<FrameKind>(header.kind), header.number, offset,
                      payload};
}

std::optional<JournalFrame> FindFrame(std::string_view bytes, std::uint64_t from,
                                      std::uint64_t seed) {
  const std::string_view magic(reinterpret_cast<const char*>(&kMagic), sizeof(kMagic));
  for (auto at = bytes.find(magic, from); at != std::string_view::npos;
       at = bytes.find(magic, at + 1)) {
    if (auto frame = ReadFrame(bytes, at, seed)) return frame;
  }
  return std::nullopt;
}

[[noreturn]] void ThrowCorrupt(const std::string& file, std::uint64_t offset) {
  throw Error(ResultCode::kLogCorrupt,
              file + " is damaged at offset " + std::to_string(offset));
}

}  // namespace

std::string EncodeFrame(FrameKind kind, std::uint64_t number, std::string_view payload,
                        std::uint64_t seed) {
  Header header;
  header.kind = static_cast<std::uint32_t>(kind);
  header.length = payload.size();
  header.number = number;
  header.checksum = ChecksumOf(header, payload, seed);
  std::string frame(reinterpret_cast<const char*>(&header), sizeof(header));
  frame.append(payload);
  return frame;
}

JournalScan ScanJournal(std::string_view bytes, std::uint64_t seed,
                        const std::string& file) {
  JournalScan scan;
  std::uint64_t next = 0;
  while (scan.valid_bytes < bytes.size()) {
    const std::uint64_t offset = scan.valid_bytes;
    auto frame = ReadFrame(bytes, offset, seed);
    if (!frame) {
      frame = FindFrame(bytes, offset + 1, seed);
      if (!frame) break;
      // A sync mark is not synced itself. A crash may lose it and keep the next record.
      const bool sync_mark_lost = frame->kind == FrameKind::kRecord && next > 0 &&
                                  frame->number == next &&
                                  frame->offset == offset + kFrameHeaderBytes;
      if (!sync_mark_lost) ThrowCorrupt(file, offset);
    }
    const bool in_order = frame->kind == FrameKind::kRecord ? frame->number == next
                                                            : frame->number + 1 == next;
    if (!in_order) ThrowCorrupt(file, frame->offset);
    if (frame->kind == FrameKind::kRecord) {
      scan.frames.push_back(*frame);
      ++next;
    }
    scan.synced = frame->kind == FrameKind::kSyncMark;
    scan.valid_bytes = frame->offset + kFrameHeaderBytes + frame->payload.size();
  }
  return scan;
}

}  // namespace quetzal
