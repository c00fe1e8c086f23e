#include "calls/default_dialect.h"

#include <algorithm>

namespace quetzal {
namespace {

constexpr std::uint64_t kMaxDeadlineMs = 24ULL * 3600 * 1000;

std::string Millis(Duration duration) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration);
  return std::to_string(std::max<std::int64_t>(0, ms.count()));
}

}  // namespace

CallerTerms DefaultDialect::ReadCaller(const StreamHeaders& headers) const {
  CallerTerms terms;
  if (const auto ms =
          ParseNumber(HeaderValue(headers, kDeadlineHeader), kMaxDeadlineMs)) {
    terms.remaining = std::chrono::milliseconds(*ms);
  }
  return terms;
}

void DefaultDialect::WriteServer(const ServerTerms& terms, StreamHeaders* headers) const {
  headers->emplace_back(kDeadlineHeader, Millis(terms.remaining));
  headers->emplace_back(kHopsHeader, std::to_string(terms.hops));
  if (!terms.via.empty()) headers->emplace_back(kViaHeader, terms.via);
}

AnswerTerms DefaultDialect::ReadAnswer(const StreamHeaders& /*headers*/) const {
  return {};
}

RefusalAnswer DefaultDialect::WriteRefusal(const Refusal& refusal,
                                           bool close_connection) const {
  return quetzal::WriteRefusal(refusal, close_connection);
}

}  // namespace quetzal
