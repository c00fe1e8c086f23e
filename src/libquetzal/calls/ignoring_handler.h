#ifndef QUETZAL_CALLS_IGNORING_HANDLER_H_
#define QUETZAL_CALLS_IGNORING_HANDLER_H_

#include <memory>
#include <utility>

#include "net/stream.h"

namespace quetzal {

/// Handler of a stream that was already answered: discards the rest of the request.
class IgnoringHandler final : public StreamHandler {
 public:
  explicit IgnoringHandler(std::shared_ptr<Stream> stream) : stream_(std::move(stream)) {}

  void OnHeaders(StreamHeaders /*headers*/) override {}
  void OnData(std::string_view bytes) override { stream_->Consume(bytes.size()); }
  void OnEnd() override {}
  void OnReset(ResultCode /*code*/) override {}

 private:
  const std::shared_ptr<Stream> stream_;
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_IGNORING_HANDLER_H_
