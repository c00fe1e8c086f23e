#ifndef QUETZAL_AGREEMENT_LOG_WRITER_H_
#define QUETZAL_AGREEMENT_LOG_WRITER_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "agreement/log_storage.h"
#include "base/clock.h"
#include "base/result_code.h"

namespace quetzal {

/// Writes and syncs a log on a separate thread. Writes added during a sync are batched
/// into the next one.
class LogWriter {
 public:
  /// Called on the writer's thread with kOk when all writes up to `number` are durable,
  /// otherwise with the error. After an error the same writes are retried every
  /// `retry_period`.
  using Outcome = std::function<void(ResultCode code, std::uint64_t number)>;

  LogWriter(LogStorage* storage, Duration retry_period, Outcome outcome);
  ~LogWriter();

  void Add(std::vector<LogWrite> writes);

  /// Ends the thread after the current sync.
  void Stop();

  std::uint64_t syncs() const;
  std::uint64_t writes_synced() const;

 private:
  void Run();
  bool WaitForWork(std::vector<LogWrite>* batch);
  ResultCode WriteBatch(const std::vector<LogWrite>& batch);

  LogStorage* storage_;
  Duration retry_period_;
  Outcome outcome_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<LogWrite> queue_;
  bool stopping_ = false;
  std::uint64_t syncs_ = 0;
  std::uint64_t writes_synced_ = 0;
  std::thread thread_;
};

}  // namespace quetzal

#endif  // QUETZAL_AGREEMENT_LOG_WRITER_H_
