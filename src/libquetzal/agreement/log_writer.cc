#include "agreement/log_writer.h"

#include <iterator>
#include <utility>

namespace quetzal {

LogWriter::LogWriter(LogStorage* storage, Duration retry_period, Outcome outcome)
    : storage_(storage), retry_period_(retry_period), outcome_(std::move(outcome)) {
  thread_ = std::thread([this] { Run(); });
}

LogWriter::~LogWriter() { Stop(); }

void LogWriter::Add(std::vector<LogWrite> writes) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    queue_.insert(queue_.end(), std::make_move_iterator(writes.begin()),
                  std::make_move_iterator(writes.end()));
  }
  changed_.notify_one();
}

void LogWriter::Stop() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  if (thread_.joinable()) thread_.join();
}

std::uint64_t LogWriter::syncs() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return syncs_;
}

std::uint64_t LogWriter::writes_synced() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return writes_synced_;
}

/// Returns false when the thread must end. A batch whose write failed stays at the front.
bool LogWriter::WaitForWork(std::vector<LogWrite>* batch) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (!batch->empty()) {
    changed_.wait_for(lock, retry_period_, [this] { return stopping_; });
  }
  changed_.wait(lock, [&] { return stopping_ || !batch->empty() || !queue_.empty(); });
  batch->insert(batch->end(), std::make_move_iterator(queue_.begin()),
                std::make_move_iterator(queue_.end()));
  queue_.clear();
  return !stopping_;
}

ResultCode LogWriter::WriteBatch(const std::vector<LogWrite>& batch) {
  try {
    storage_->Write(batch);
  } catch (const Error& error) {
    return error.code();
  }
  std::lock_guard<std::mutex> lock(mutex_);
  ++syncs_;
  writes_synced_ += batch.size();
  return ResultCode::kOk;
}

void LogWriter::Run() {
  std::vector<LogWrite> batch;
  while (WaitForWork(&batch)) {
    const ResultCode code = WriteBatch(batch);
    outcome_(code, batch.back().number);
    if (code == ResultCode::kOk) batch.clear();
  }
}

}  // namespace quetzal
