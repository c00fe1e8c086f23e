#include "calls/attempt_table.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "calls/call_headers.h"

namespace quetzal {

std::string AttemptId::Make(const std::string& instance, std::uint64_t incarnation,
                            std::uint64_t counter, std::int64_t micros) {
  return instance + '/' + std::to_string(incarnation) + '/' + std::to_string(counter) +
         '/' + std::to_string(micros);
}

std::int64_t AttemptId::Micros(const std::string& attempt_id) {
  const std::size_t at = attempt_id.rfind('/');
  if (at == std::string::npos) return 0;
  const auto number =
      ParseNumber(attempt_id.substr(at + 1), std::numeric_limits<std::int64_t>::max());
  return number ? static_cast<std::int64_t>(*number) : 0;
}

bool AttemptTable::Begin(const std::string& attempt_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (IsTooOldLocked(attempt_id)) return false;
  const auto [it, inserted] = entries_.try_emplace(attempt_id);
  if (!inserted) return false;
  it->second.view.state = AttemptState::kRunning;
  it->second.finished = finished_.end();
  EvictOldestLocked();
  return true;
}

void AttemptTable::End(const std::string& attempt_id, AttemptState state,
                       KeyAnswer answer) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto it = entries_.find(attempt_id);
  if (it == entries_.end() || it->second.view.state != AttemptState::kRunning) return;
  it->second.view.state = state;
  it->second.view.answer = std::move(answer);
  FinishLocked(attempt_id, &it->second);
}

AttemptView AttemptTable::Inquire(const std::string& attempt_id, bool fence) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto it = entries_.find(attempt_id);
  if (it != entries_.end()) return it->second.view;
  AttemptView view;
  if (IsTooOldLocked(attempt_id)) return view;
  view.state = AttemptState::kNeverSeen;
  if (!fence) return view;
  view.state = AttemptState::kNotRun;
  Entry& entry = entries_[attempt_id];
  entry.view = view;
  FinishLocked(attempt_id, &entry);
  return view;
}

std::size_t AttemptTable::size() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return entries_.size();
}

void AttemptTable::FinishLocked(const std::string& attempt_id, Entry* entry) {
  answer_bytes_ += entry->view.answer.body().size();
  entry->finished = finished_.insert(finished_.end(), attempt_id);
  EvictOldestLocked();
}

void AttemptTable::EvictOldestLocked() {
  while (!finished_.empty() &&
         (entries_.size() > max_entries_ || answer_bytes_ > max_answer_bytes_)) {
    auto it = entries_.find(finished_.front());
    evicted_micros_ = std::max(evicted_micros_, AttemptId::Micros(it->first));
    answer_bytes_ -= it->second.view.answer.body().size();
    entries_.erase(it);
    finished_.pop_front();
  }
}

bool AttemptTable::IsTooOldLocked(const std::string& attempt_id) const {
  return AttemptId::Micros(attempt_id) <= evicted_micros_;
}

}  // namespace quetzal
