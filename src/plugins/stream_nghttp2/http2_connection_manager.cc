#include "plugins/stream_nghttp2/http2_connection_manager.h"

#include <utility>
#include <vector>

#include "plugins/stream_nghttp2/http2_connection.h"
#include "plugins/stream_nghttp2/http2_stream.h"

namespace quetzal {

void Http2ConnectionManager::set_acceptor(StreamAcceptor acceptor) {
  std::lock_guard<std::mutex> lock(mutex_);
  acceptor_ = std::move(acceptor);
}

StreamAcceptor Http2ConnectionManager::acceptor() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return acceptor_;
}

void Http2ConnectionManager::Start(const Endpoint& peer,
                                   const std::shared_ptr<Http2Stream>& stream) {
  std::shared_ptr<Http2Connection> connection;
  std::shared_ptr<Http2Connection> evicted;
  bool created = false;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    auto& slot = pool_[peer];
    if (!slot) {
      slot = std::make_shared<Http2Connection>(shared_from_this(), peer);
      opened_.insert(slot);
      created = true;
    }
    connection = slot;
    connection->Reserve();
    if (created && pool_.size() > options_.max_pooled_peers) EvictIdleLocked(&evicted);
  }
  if (evicted) evicted->CloseWhenIdle();
  if (created) connection->Connect();
  connection->Start(stream);
}

void Http2ConnectionManager::EvictIdleLocked(std::shared_ptr<Http2Connection>* evicted) {
  auto oldest = pool_.end();
  for (auto it = pool_.begin(); it != pool_.end(); ++it) {
    if (it->second->assigned_streams() > 0) continue;
    if (oldest == pool_.end() || it->second->last_used() < oldest->second->last_used()) {
      oldest = it;
    }
  }
  if (oldest == pool_.end()) return;
  *evicted = std::move(oldest->second);
  pool_.erase(oldest);
}

void Http2ConnectionManager::RemoveFromPool(const Endpoint& peer,
                                            const Http2Connection* connection) {
  std::shared_ptr<Http2Connection> removed;
  std::lock_guard<std::mutex> lock(mutex_);
  auto it = pool_.find(peer);
  if (it == pool_.end() || it->second.get() != connection) return;
  removed = std::move(it->second);
  pool_.erase(it);
}

void Http2ConnectionManager::AddAccepted(
    const std::shared_ptr<Http2Connection>& connection) {
  std::shared_ptr<Http2Connection> oldest;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    accepted_.insert(connection);
    if (accepted_.size() > options_.max_accepted_connections) {
      for (const auto& it : accepted_) {
        if (it == connection || it->assigned_streams() > 0) continue;
        if (!oldest || it->last_used() < oldest->last_used()) oldest = it;
      }
    }
  }
  if (oldest) oldest->CloseWhenIdle();
}

void Http2ConnectionManager::Remove(const std::shared_ptr<Http2Connection>& connection) {
  std::lock_guard<std::mutex> lock(mutex_);
  opened_.erase(connection);
  accepted_.erase(connection);
}

void Http2ConnectionManager::Drain() {
  draining_ = true;
  std::vector<std::shared_ptr<Http2Connection>> connections;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    connections.assign(accepted_.begin(), accepted_.end());
  }
  for (const auto& connection : connections) connection->CloseWhenIdle();
}

void Http2ConnectionManager::Shutdown() {
  std::map<Endpoint, std::shared_ptr<Http2Connection>> pool;
  std::set<std::shared_ptr<Http2Connection>> opened;
  std::set<std::shared_ptr<Http2Connection>> accepted;
  std::lock_guard<std::mutex> lock(mutex_);
  pool.swap(pool_);
  opened.swap(opened_);
  accepted.swap(accepted_);
  acceptor_ = nullptr;
}

}  // namespace quetzal
