// A header of cpprestsdk uses deprecated Asio types, which this macro hides.
#undef BOOST_ASIO_NO_DEPRECATED

#include "plugins/admin_http1/http1_admin_server.h"

#include <cpprest/base_uri.h>

#include <condition_variable>
#include <mutex>
#include <string>
#include <utility>

#include "base/concat.h"
#include "base/result_code.h"
#include "net/stream_transport_registry.h"

namespace quetzal {
namespace {

constexpr std::size_t kMaxBodyBytes = 2'097'152;

/// Of all requests that are being received.
constexpr std::size_t kMaxPendingBytes = 8 * kMaxBodyBytes;
constexpr std::size_t kMaxConnections = 256;

/// Longest wait of Stop() for requests in progress.
constexpr Duration kStopLimit = std::chrono::seconds(5);

AdminResponse MakeRefusal(ResultCode code, const std::string& message) {
  const ResultCodeInfo& info = InfoOf(code);
  return {info.http_status, "application/json",
          Concat("{\"code\": ", static_cast<int>(code), ", \"name\": \"", info.name,
                 "\", \"not_run\": ", info.not_run ? "true" : "false",
                 ", \"message\": \"", message, "\"}\n")};
}

void Answer(Stream* stream, AdminResponse response) {
  const bool empty = response.body.empty();
  stream->SendHeaders({{":status", std::to_string(response.status)},
                       {"content-type", response.content_type},
                       {"content-length", std::to_string(response.body.size())}},
                      empty);
  if (!empty) stream->SendData(std::move(response.body), true);
}

/// Throws web::uri_exception.
AdminRequest ToAdminRequest(std::string method, const std::string& target,
                            std::string body) {
  const web::uri uri(target);
  AdminRequest request;
  request.method = std::move(method);
  request.path = web::uri::decode(uri.path());
  for (const auto& [name, value] : web::uri::split_query(uri.query())) {
    request.query[web::uri::decode(name)] = web::uri::decode(value);
  }
  request.body = std::move(body);
  return request;
}

}  // namespace

/// All requests of a server. The mutex is never held during a call to another object.
class Http1AdminServer::Requests {
 public:
  explicit Requests(AdminHandler handler) : handler_(std::move(handler)) {}

  bool Reserve(std::size_t bytes) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (pending_bytes_ + bytes > kMaxPendingBytes) return false;
    pending_bytes_ += bytes;
    return true;
  }
  void Release(std::size_t bytes) {
    const std::lock_guard<std::mutex> lock(mutex_);
    pending_bytes_ -= bytes;
  }

  /// Calls the handler, or answers in its place once the server is stopped.
  static void Handle(const std::shared_ptr<Requests>& self, const AdminRequest& request,
                     const std::shared_ptr<Stream>& stream) {
    if (!self->Begin()) {
      return Answer(stream.get(),
                    MakeRefusal(ResultCode::kNodeStopping, "The process stops."));
    }
    self->handler_(request, [self, stream](AdminResponse response) {
      Answer(stream.get(), std::move(response));
      const std::lock_guard<std::mutex> lock(self->mutex_);
      --self->in_progress_;
      self->changed_.notify_all();
    });
  }

  void Stop() {
    std::unique_lock<std::mutex> lock(mutex_);
    stopped_ = true;
    changed_.wait_for(lock, kStopLimit, [this] { return in_progress_ == 0; });
  }

 private:
  bool Begin() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!stopped_) ++in_progress_;
    return !stopped_;
  }

  const AdminHandler handler_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::size_t pending_bytes_ = 0;
  int in_progress_ = 0;
  bool stopped_ = false;
};

/// One request while it is received. Used on the strand of its connection.
class Http1AdminServer::Request final : public StreamHandler {
 public:
  Request(std::shared_ptr<Requests> requests, std::string target, std::string method,
          std::shared_ptr<Stream> stream)
      : requests_(std::move(requests)),
        target_(std::move(target)),
        method_(std::move(method)),
        stream_(std::move(stream)) {}
  ~Request() override { requests_->Release(reserved_); }
  Request(const Request&) = delete;
  Request& operator=(const Request&) = delete;

  void OnHeaders(StreamHeaders /*headers*/) override {}

  void OnData(std::string_view bytes) override {
    if (refused_) return;
    if (body_.size() + bytes.size() > kMaxBodyBytes) {
      return Refuse(ResultCode::kIntentTooLarge,
                    Concat("The body exceeds ", kMaxBodyBytes, " bytes."));
    }
    if (!requests_->Reserve(bytes.size())) {
      return Refuse(ResultCode::kOverloaded, "Too many requests are being received.");
    }
    reserved_ += bytes.size();
    body_.append(bytes);
    stream_->Consume(bytes.size());
  }

  void OnEnd() override {
    if (refused_) return;
    AdminRequest request;
    try {
      request = ToAdminRequest(method_, target_, std::move(body_));
    } catch (const std::exception&) {
      return Refuse(ResultCode::kRequestMalformed, "The request is malformed.");
    }
    Requests::Handle(requests_, request, stream_);
  }

  void OnReset(ResultCode /*code*/) override { refused_ = true; }

 private:
  // The connection closes behind an answer that precedes the end of its request.
  void Refuse(ResultCode code, const std::string& message) {
    refused_ = true;
    Answer(stream_.get(), MakeRefusal(code, message));
  }

  const std::shared_ptr<Requests> requests_;
  const std::string target_;
  const std::string method_;
  const std::shared_ptr<Stream> stream_;
  std::string body_;
  std::size_t reserved_ = 0;
  bool refused_ = false;
};

Http1AdminServer::Http1AdminServer(Runtime* runtime) {
  StreamTransportOptions limits;
  limits.max_accepted_connections = kMaxConnections;
  transport_ = StreamTransportRegistry::Instance().Create("http1", runtime, limits);
}

Http1AdminServer::~Http1AdminServer() = default;

Endpoint Http1AdminServer::Listen(const Endpoint& endpoint, AdminHandler handler) {
  requests_ = std::make_shared<Requests>(std::move(handler));
  return transport_->Listen(
      endpoint,
      [requests = requests_](const std::string& target, const StreamHeaders& headers,
                             std::shared_ptr<Stream> stream) {
        return std::make_shared<Request>(requests, target,
                                         std::string(HeaderValue(headers, ":method")),
                                         std::move(stream));
      });
}

void Http1AdminServer::Stop() {
  if (requests_ == nullptr) return;
  requests_->Stop();
  transport_->Drain();
}

namespace {

const PluginRegistration<AdminServerRegistry> registration("http1", [](Runtime* runtime) {
  return std::make_unique<Http1AdminServer>(runtime);
});

}  // namespace

}  // namespace quetzal
