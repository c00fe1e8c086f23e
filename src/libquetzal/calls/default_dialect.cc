#include "calls/default_dialect.h"

#include <algorithm>

namespace quetzal {
namespace {

constexpr char kCredentialField[] = "authorization";
constexpr char kTeamField[] = "x-quetzal-team";
constexpr std::uint64_t kMaxDeadlineMs = 24ULL * 3600 * 1000;

std::string Millis(Duration duration) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration);
  return std::to_string(std::max<std::int64_t>(0, ms.count()));
}

}  // namespace

CallerMetadata DefaultDialect::ReadCaller(const StreamHeaders& headers) const {
  CallerMetadata metadata;
  if (const auto ms =
          ParseNumber(HeaderValue(headers, kDeadlineHeader), kMaxDeadlineMs)) {
    metadata.remaining = std::chrono::milliseconds(*ms);
  }
  return metadata;
}

CallerCredential DefaultDialect::ReadCredential(const StreamHeaders& headers) const {
  return ReadBearerCredential(headers, kCredentialField);
}

void DefaultDialect::RemoveTeamFields(StreamHeaders* headers) const {
  RemoveField(kCredentialField, headers);
  RemoveField(kTeamField, headers);
}

void DefaultDialect::WriteServer(const ServerMetadata& metadata,
                                 StreamHeaders* headers) const {
  headers->emplace_back(kDeadlineHeader, Millis(metadata.remaining));
  headers->emplace_back(kHopsHeader, std::to_string(metadata.hops));
  if (!metadata.team.empty()) {
    RemoveField(kTeamField, headers);
    headers->emplace_back(kTeamField, metadata.team);
  }
  if (!metadata.via.empty()) headers->emplace_back(kViaHeader, metadata.via);
}

AnswerMetadata DefaultDialect::ReadAnswer(const StreamHeaders& /*headers*/) const {
  return {};
}

RefusalAnswer DefaultDialect::WriteRefusal(const Refusal& refusal,
                                           bool close_connection) const {
  return quetzal::WriteRefusal(refusal, close_connection);
}

}  // namespace quetzal
