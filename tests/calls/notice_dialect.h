#ifndef QUETZAL_TESTS_CALLS_NOTICE_DIALECT_H_
#define QUETZAL_TESTS_CALLS_NOTICE_DIALECT_H_

#include <string>

#include "calls/default_dialect.h"

namespace quetzal {

/// The default dialect with fields in which a backend server says that it leaves, and how
/// many requests per second it takes.
class NoticeDialect final : public CallDialect {
 public:
  static constexpr char kLeavingField[] = "x-leaving";
  static constexpr char kRateLimitField[] = "x-rate-limit";

  CallerMetadata ReadCaller(const StreamHeaders& headers) const override {
    return base_.ReadCaller(headers);
  }
  CallerCredential ReadCredential(const StreamHeaders& headers) const override {
    return base_.ReadCredential(headers);
  }
  void RemoveTeamFields(StreamHeaders* headers) const override {
    base_.RemoveTeamFields(headers);
  }
  void WriteServer(const ServerMetadata& metadata,
                   StreamHeaders* headers) const override {
    base_.WriteServer(metadata, headers);
  }
  std::string echo_field() const override { return base_.echo_field(); }
  AnswerMetadata ReadAnswer(const StreamHeaders& headers) const override {
    AnswerMetadata metadata = base_.ReadAnswer(headers);
    metadata.leaving = !HeaderValue(headers, kLeavingField).empty();
    metadata.rate_limit = ParseRate(HeaderValue(headers, kRateLimitField));
    return metadata;
  }
  RefusalAnswer WriteRefusal(const Refusal& refusal,
                             bool close_connection) const override {
    return base_.WriteRefusal(refusal, close_connection);
  }

 private:
  DefaultDialect base_;
};

}  // namespace quetzal

#endif  // QUETZAL_TESTS_CALLS_NOTICE_DIALECT_H_
