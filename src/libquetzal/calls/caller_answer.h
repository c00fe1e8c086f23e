#ifndef QUETZAL_CALLS_CALLER_ANSWER_H_
#define QUETZAL_CALLS_CALLER_ANSWER_H_

#include <string>

#include "calls/call_headers.h"
#include "net/stream.h"

namespace quetzal {

/// Header fields and body of a refusal, sent to a caller in place of an answer.
struct RefusalAnswer {
  StreamHeaders headers;
  std::string body;
};

/// Writes a refusal in the form documented for callers: the status of its code,
/// X-Quetzal-Result, Retry-After where a retry makes sense, and a JSON body.
RefusalAnswer WriteRefusal(const Refusal& refusal, bool close_connection);

}  // namespace quetzal

#endif  // QUETZAL_CALLS_CALLER_ANSWER_H_
