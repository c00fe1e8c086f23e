#ifndef QUETZAL_CALLS_DEFAULT_DIALECT_H_
#define QUETZAL_CALLS_DEFAULT_DIALECT_H_

#include <string>

#include "calls/call_dialect.h"

namespace quetzal {

/// The default dialect, described in docs/calls.md: Authorization,
/// X-Quetzal-Team, X-Quetzal-Deadline-Ms, X-Quetzal-Result and so on.
class DefaultDialect final : public CallDialect {
 public:
  CallerMetadata ReadCaller(const StreamHeaders& headers) const override;
  CallerCredential ReadCredential(const StreamHeaders& headers) const override;
  void RemoveTeamFields(StreamHeaders* headers) const override;
  void WriteServer(const ServerMetadata& metadata, StreamHeaders* headers) const override;
  std::string echo_field() const override { return ""; }
  AnswerMetadata ReadAnswer(const StreamHeaders& headers) const override;
  RefusalAnswer WriteRefusal(const Refusal& refusal,
                             bool close_connection) const override;
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_DEFAULT_DIALECT_H_
