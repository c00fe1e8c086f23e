#include "calls/caller_answer.h"

#include <algorithm>

namespace quetzal {
namespace {

constexpr std::int64_t kMillisPerSecond = 1000;

void AddRetryAfter(Duration retry_after, StreamHeaders* headers) {
  if (retry_after <= Duration::zero()) return;
  const auto millis = std::max<std::int64_t>(
      1, std::chrono::duration_cast<std::chrono::milliseconds>(retry_after).count());
  const auto secs = (millis + kMillisPerSecond - 1) / kMillisPerSecond;
  headers->emplace_back("retry-after", std::to_string(secs));
  headers->emplace_back(kRetryAfterMsHeader, std::to_string(millis));
}

}  // namespace

RefusalAnswer WriteRefusal(const Refusal& refusal, bool close_connection) {
  const ResultCodeInfo& info = InfoOf(refusal.code);
  const std::string number = std::to_string(static_cast<int>(info.code));
  RefusalAnswer answer;
  // Names and meanings come from the table of result codes and need no escaping.
  answer.body.append("{\"code\":").append(number).append(",\"name\":\"");
  answer.body.append(info.name).append("\",\"message\":\"").append(info.meaning);
  answer.body.append(refusal.not_run ? "\",\"not_run\":true}" : "\",\"not_run\":false}");
  answer.headers.emplace_back(":status", std::to_string(info.http_status));
  answer.headers.emplace_back("content-type", "application/json");
  answer.headers.emplace_back("content-length", std::to_string(answer.body.size()));
  answer.headers.emplace_back(kResultHeader, number + ' ' + std::string(info.name));
  AddRetryAfter(refusal.retry_after, &answer.headers);
  if (close_connection) answer.headers.emplace_back("connection", "close");
  return answer;
}

}  // namespace quetzal
