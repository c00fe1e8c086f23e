#include "net/stream_router.h"

#include <mutex>
#include <utility>

namespace quetzal {

void StreamRouter::Handle(const std::string& path, Route route) {
  std::unique_lock<std::shared_mutex> lock(mutex_);
  routes_[path] = std::move(route);
}

StreamAcceptor StreamRouter::acceptor() {
  return [this](const std::string& path, const StreamHeaders& headers,
                std::shared_ptr<Stream> stream) -> std::shared_ptr<StreamHandler> {
    Route route;
    {
      std::shared_lock<std::shared_mutex> lock(mutex_);
      const auto it = routes_.find(path);
      if (it == routes_.end()) return nullptr;
      route = it->second;
    }
    return route(headers, std::move(stream));
  };
}

}  // namespace quetzal
