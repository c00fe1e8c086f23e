// A header of cpprestsdk uses deprecated Asio types, which this macro hides.
#undef BOOST_ASIO_NO_DEPRECATED

#include "plugins/admin_cpprest/cpprest_admin_server.h"

#include <arpa/inet.h>
#include <cpprest/http_listener.h>
#include <netinet/in.h>
#include <pplx/threadpool.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <mutex>
#include <utility>

#include "base/concat.h"
#include "base/result_code.h"

namespace quetzal {
namespace {

using web::http::http_request;
using web::http::http_response;

constexpr int kThreadCount = 2;
constexpr std::size_t kMaxBodyBytes = 2'097'152;
constexpr int kMaxListenAttempts = 20;

// By default, cpprestsdk starts 40 threads.
void InitializeThreadPool() {
  static std::once_flag once;
  std::call_once(once,
                 [] { crossplat::threadpool::initialize_with_threads(kThreadCount); });
}

/// Returns the port of `endpoint`, or a free port when it is 0. Throws Error(kPortTaken)
/// when the address is in use. The address is probed because cpprestsdk reports
/// neither the chosen port nor why listening failed.
std::uint16_t ProbePort(const Endpoint& endpoint) {
  const bool v6 = endpoint.address.find(':') != std::string::npos;
  sockaddr_storage storage{};
  socklen_t size = sizeof(sockaddr_in);
  auto* v4_address = reinterpret_cast<sockaddr_in*>(&storage);
  auto* v6_address = reinterpret_cast<sockaddr_in6*>(&storage);
  if (v6) {
    size = sizeof(sockaddr_in6);
    v6_address->sin6_family = AF_INET6;
    v6_address->sin6_port = htons(endpoint.port);
    inet_pton(AF_INET6, endpoint.address.c_str(), &v6_address->sin6_addr);
  } else {
    v4_address->sin_family = AF_INET;
    v4_address->sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &v4_address->sin_addr);
  }
  const int fd = socket(v6 ? AF_INET6 : AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const bool bound = bind(fd, reinterpret_cast<sockaddr*>(&storage), size) == 0;
  getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &size);
  close(fd);
  if (!bound) {
    throw Error(ResultCode::kPortTaken, Concat("cannot listen on ", endpoint.ToString(),
                                               ": the address cannot be bound"));
  }
  return ntohs(v6 ? v6_address->sin6_port : v4_address->sin_port);
}

AdminRequest ToAdminRequest(const http_request& request, std::string body) {
  AdminRequest converted;
  converted.method = request.method();
  converted.path = web::uri::decode(request.relative_uri().path());
  for (const auto& [name, value] :
       web::uri::split_query(request.relative_uri().query())) {
    converted.query[web::uri::decode(name)] = web::uri::decode(value);
  }
  converted.body = std::move(body);
  return converted;
}

void Reply(const http_request& request, const AdminResponse& response) {
  http_response message(static_cast<web::http::status_code>(response.status));
  message.set_body(response.body, response.content_type);
  request.reply(message).then([](const pplx::task<void>& sent) {
    try {
      sent.get();
    } catch (const std::exception&) {
      // The client disconnected before the response was sent; it can retry.
    }
  });
}

void Refuse(const http_request& request, ResultCode code, const std::string& message) {
  const ResultCodeInfo& info = InfoOf(code);
  Reply(request, {info.http_status, "application/json",
                  Concat("{\"code\": ", static_cast<int>(code), ", \"name\": \"",
                         info.name, "\", \"not_run\": ", info.not_run ? "true" : "false",
                         ", \"message\": \"", message, "\"}\n")});
}

/// Returns true when the body's length is known and within the limit; otherwise refuses
/// the request.
bool CheckLength(const http_request& request) {
  if (request.headers().has(web::http::header_names::transfer_encoding)) {
    Refuse(request, ResultCode::kRequestMalformed, "A body needs a Content-Length.");
    return false;
  }
  if (request.headers().content_length() <= kMaxBodyBytes) return true;
  Refuse(request, ResultCode::kIntentTooLarge,
         Concat("The body exceeds ", kMaxBodyBytes, " bytes."));
  return false;
}

}  // namespace

class CpprestAdminServer::Listener {
 public:
  Listener(const web::uri& uri, AdminHandler handler)
      : listener_(uri), handler_(std::move(handler)) {
    listener_.support([this](const http_request& request) { HandleRequest(request); });
  }

  void Open() { listener_.open().wait(); }
  void Close() { listener_.close().wait(); }

 private:
  void HandleRequest(const http_request& request) {
    if (!CheckLength(request)) return;
    request.extract_vector().then(
        [this, request](const pplx::task<std::vector<unsigned char>>& extracted) {
          try {
            const std::vector<unsigned char> bytes = extracted.get();
            handler_(
                ToAdminRequest(request, std::string(bytes.begin(), bytes.end())),
                [request](const AdminResponse& response) { Reply(request, response); });
          } catch (const std::exception&) {
            Refuse(request, ResultCode::kRequestMalformed, "The request is malformed.");
          }
        });
  }

  web::http::experimental::listener::http_listener listener_;
  AdminHandler handler_;
};

CpprestAdminServer::CpprestAdminServer() = default;

CpprestAdminServer::~CpprestAdminServer() { Stop(); }

Endpoint CpprestAdminServer::Listen(const Endpoint& endpoint, AdminHandler handler) {
  InitializeThreadPool();
  for (int n = 1;; ++n) {
    Endpoint chosen{endpoint.address, ProbePort(endpoint)};
    const web::uri uri("http://" + chosen.ToString() + "/");
    auto listener = std::make_unique<Listener>(uri, handler);
    try {
      listener->Open();
      listener_ = std::move(listener);
      return chosen;
    } catch (const std::exception& error) {
      if (endpoint.port == 0 && n < kMaxListenAttempts) continue;
      throw Error(ResultCode::kPortTaken,
                  Concat("cannot listen on ", chosen.ToString(), ": ", error.what()));
    }
  }
}

void CpprestAdminServer::Stop() {
  if (listener_ == nullptr) return;
  try {
    listener_->Close();
  } catch (const std::exception&) {
    // The listener is destroyed even if closing it fails.
  }
  listener_.reset();
}

namespace {

const PluginRegistration<AdminServerRegistry> registration("cpprest", [] {
  return std::make_unique<CpprestAdminServer>();
});

}  // namespace

}  // namespace quetzal
