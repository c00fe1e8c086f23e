#ifndef QUETZAL_PLUGINS_LOG_FILE_JOURNAL_FRAME_H_
#define QUETZAL_PLUGINS_LOG_FILE_JOURNAL_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

enum class FrameKind : std::uint32_t {
  kRecord = 1,
  kSyncMark = 2,  ///< Confirms that the record with this number was synced.
};

/// One frame of a journal file. The file format is a header of 32 bytes in little endian
/// (magic, kind, payload length, number, checksum), followed by the payload.
struct JournalFrame {
  FrameKind kind = FrameKind::kRecord;
  std::uint64_t number = 0;
  std::uint64_t offset = 0;  ///< Byte offset in the file.
  std::string_view payload;
};

constexpr std::size_t kFrameHeaderBytes = 32;

/// `seed` enters the checksum, so that a stale block of another journal fails the check.
std::string EncodeFrame(FrameKind kind, std::uint64_t number, std::string_view payload,
                        std::uint64_t seed);

/// Frames of a journal and the length of its valid part.
struct JournalScan {
  std::vector<JournalFrame> frames;
  std::uint64_t valid_bytes = 0;  ///< Below the file size: the last write is incomplete.
  bool synced = false;            ///< The last record has its sync mark.
};

/// Reads a whole journal. A record is written only after the previous one was synced, so
/// a crash can leave only the last record incomplete; anything else is corruption. Throws
/// Error(kLogCorrupt) with `file` and the offset in the text.
JournalScan ScanJournal(std::string_view bytes, std::uint64_t seed,
                        const std::string& file);

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_LOG_FILE_JOURNAL_FRAME_H_
