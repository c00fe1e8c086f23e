#include "plugins/log_glog/glog_event_log.h"

#include <cstdio>
#include <mutex>
#include <utility>

#include <glog/logging.h>

#include "base/result_code.h"

namespace quetzal {

/// Writes the message without glog's line prefix, which is not JSON.
class GlogEventLog::Sink final : public google::LogSink {
 public:
  explicit Sink(const std::string& file) : file_(Open(file)) {
    if (file_ == nullptr) {
      throw Error(ResultCode::kFolderMissing, "cannot open the log file " + file);
    }
  }

  ~Sink() override {
    if (file_ != stderr && file_ != stdout) std::fclose(file_);
  }

  Sink(const Sink&) = delete;
  Sink& operator=(const Sink&) = delete;

  void send(google::LogSeverity /*severity*/, const char* /*full_filename*/,
            const char* /*base_filename*/, int /*line*/,
            const google::LogMessageTime& /*time*/, const char* message,
            std::size_t message_len) override {
    std::lock_guard<std::mutex> lock(mutex_);
    std::fwrite(message, 1, message_len, file_);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  static std::FILE* Open(const std::string& file) {
    if (file.empty()) return stderr;
    return file == "-" ? stdout : std::fopen(file.c_str(), "ae");
  }

  std::mutex mutex_;
  std::FILE* file_;
};

GlogEventLog::GlogEventLog(EventOrigin origin, const std::string& file,
                           const Clock* clock, HybridClock* hybrid_clock)
    : origin_(std::move(origin)),
      clock_(clock),
      hybrid_clock_(hybrid_clock),
      sink_(std::make_unique<Sink>(file)) {}

GlogEventLog::~GlogEventLog() = default;

void GlogEventLog::Emit(const Event& event) {
  const std::string line =
      FormatEventLine(origin_, clock_->WallNow(), hybrid_clock_->Tick(), event);
  LOG_TO_SINK_BUT_NOT_TO_LOGFILE(sink_.get(), INFO) << line;
}

}  // namespace quetzal
