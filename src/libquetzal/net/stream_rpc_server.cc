#include "net/stream_rpc_server.h"

#include <utility>

#include "net/message_framing.h"

namespace quetzal {
namespace {

/// Collects one incoming request and calls its method.
class IncomingRequest final : public StreamHandler {
 public:
  IncomingRequest(std::shared_ptr<const RpcServer::Method> method,
                  HybridClock* hybrid_clock, std::shared_ptr<Stream> stream)
      : method_(std::move(method)),
        hybrid_clock_(hybrid_clock),
        stream_(std::move(stream)) {}

  void OnHeaders(StreamHeaders /*headers*/) override {}

  void OnData(std::string_view bytes) override {
    if (!stream_) return;
    stream_->Consume(bytes.size());
    request_.append(bytes);
    if (request_.size() > kMaxMessageBytes) {
      MakeReply()(ResultCode::kMessageMalformed, "");
    }
  }

  void OnEnd() override {
    if (!stream_) return;
    const RpcReply reply = MakeReply();
    try {
      (*method_)(request_, reply);
    } catch (const Error& error) {
      reply(error.code(), "");
    }
  }

  void OnReset(ResultCode /*code*/) override { stream_.reset(); }

 private:
  RpcReply MakeReply() {
    return [stream = std::move(stream_), hybrid_clock = hybrid_clock_](ResultCode code,
                                                                       std::string body) {
      const bool ok = code == ResultCode::kOk;
      const bool end = !ok || body.empty();
      stream->SendHeaders({{":status", "200"},
                           {kCodeHeader, std::to_string(static_cast<int>(code))},
                           {kTimeHeader, hybrid_clock->Tick().ToString()}},
                          end);
      if (!end) stream->SendData(std::move(body), true);
    };
  }

  std::shared_ptr<const RpcServer::Method> method_;
  HybridClock* hybrid_clock_;
  std::shared_ptr<Stream> stream_;
  std::string request_;
};

}  // namespace

void StreamRpcServer::Serve(const std::string& method, Method handler) {
  router_->Handle(method,
                  [shared = std::make_shared<const Method>(std::move(handler)),
                   hybrid_clock = hybrid_clock_](
                      const StreamHeaders& headers,
                      std::shared_ptr<Stream> stream) -> std::shared_ptr<StreamHandler> {
                    try {
                      ObserveTimeOf(headers, hybrid_clock);
                    } catch (const Error&) {
                      return nullptr;
                    }
                    return std::make_shared<IncomingRequest>(shared, hybrid_clock,
                                                             std::move(stream));
                  });
}

}  // namespace quetzal
