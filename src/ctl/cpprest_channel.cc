// The headers of cpprestsdk use types that Boost.Asio hides while this is defined.
#undef BOOST_ASIO_NO_DEPRECATED

#include "ctl/cpprest_channel.h"

#include <cpprest/http_client.h>
#include <pplx/threadpool.h>

#include <mutex>

namespace quetzal {
namespace {

constexpr int kThreads = 2;

void LimitThreads() {
  static std::once_flag once;
  std::call_once(once, [] { crossplat::threadpool::initialize_with_threads(kThreads); });
}

}  // namespace

std::optional<std::string> CpprestChannel::Send(const Endpoint& control_instance,
                                                const std::string& method,
                                                const std::string& path_and_query,
                                                const std::string& body,
                                                Duration timeout) {
  LimitThreads();
  web::http::client::http_client_config config;
  config.set_timeout(timeout);
  try {
    web::http::client::http_client client("http://" + control_instance.ToString(),
                                          config);
    web::http::http_request request(method);
    request.set_request_uri(path_and_query);
    if (!body.empty()) request.set_body(body, "application/json");
    return client.request(request).get().extract_utf8string(true).get();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace quetzal
