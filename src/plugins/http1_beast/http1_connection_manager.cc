#include "plugins/http1_beast/http1_connection_manager.h"

#include <algorithm>
#include <utility>

#include "plugins/http1_beast/http1_client_connection.h"
#include "plugins/http1_beast/http1_server_connection.h"

namespace quetzal {

void Http1ConnectionManager::set_acceptor(StreamAcceptor acceptor) {
  std::lock_guard<std::mutex> lock(mutex_);
  acceptor_ = std::move(acceptor);
}

StreamAcceptor Http1ConnectionManager::acceptor() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return acceptor_;
}

void Http1ConnectionManager::Start(const std::shared_ptr<Http1ClientStream>& stream) {
  std::shared_ptr<Http1ClientConnection> connection;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    Peer& peer = peers_[stream->peer];
    if (!stream->dedicated && !peer.idle.empty()) {
      connection = std::move(peer.idle.back());
      peer.idle.pop_back();
    } else {
      connection = AddConnectionLocked(stream->peer);
    }
  }
  connection->Run(stream);
}

void Http1ConnectionManager::Connect(const Endpoint& peer,
                                     std::function<void(bool)> done) {
  std::shared_ptr<Http1ClientConnection> connection;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    const auto it = peers_.find(peer);
    const std::size_t open = it == peers_.end() ? 0 : it->second.connections;
    if (open < options_.max_connections_per_peer) connection = AddConnectionLocked(peer);
  }
  // With all connections in use, the peer can be reached.
  if (!connection) return done(true);
  connection->Open(std::move(done));
}

std::shared_ptr<Http1ClientConnection> Http1ConnectionManager::AddConnectionLocked(
    const Endpoint& endpoint) {
  Peer& peer = peers_[endpoint];
  const bool allowed = peer.connections < options_.max_connections_per_peer;
  auto connection =
      std::make_shared<Http1ClientConnection>(shared_from_this(), endpoint, allowed);
  ++peer.connections;
  opened_.insert(connection);
  return connection;
}

bool Http1ConnectionManager::AddIdle(
    const std::shared_ptr<Http1ClientConnection>& connection) {
  std::lock_guard<std::mutex> lock(mutex_);
  Peer& peer = peers_[connection->peer()];
  if (peer.idle.size() >= options_.max_idle_per_peer) return false;
  peer.idle.push_back(connection);
  return true;
}

void Http1ConnectionManager::Remove(
    const std::shared_ptr<Http1ClientConnection>& connection) {
  std::lock_guard<std::mutex> lock(mutex_);
  opened_.erase(connection);
  const auto it = peers_.find(connection->peer());
  if (it == peers_.end()) return;
  auto& idle = it->second.idle;
  idle.erase(std::remove(idle.begin(), idle.end(), connection), idle.end());
  if (--it->second.connections == 0) peers_.erase(it);
}

bool Http1ConnectionManager::AddAccepted(
    const std::shared_ptr<Http1ServerConnection>& connection) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (accepted_.size() >= options_.max_accepted_connections) return false;
  accepted_.insert(connection);
  return true;
}

void Http1ConnectionManager::RemoveAccepted(
    const std::shared_ptr<Http1ServerConnection>& connection) {
  std::lock_guard<std::mutex> lock(mutex_);
  accepted_.erase(connection);
}

void Http1ConnectionManager::Drain() {
  draining_ = true;
  std::vector<std::shared_ptr<Http1ServerConnection>> connections;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    connections.assign(accepted_.begin(), accepted_.end());
  }
  for (const auto& connection : connections) connection->Drain();
}

void Http1ConnectionManager::Shutdown() {
  std::map<Endpoint, Peer> peers;
  std::set<std::shared_ptr<Http1ClientConnection>> opened;
  std::set<std::shared_ptr<Http1ServerConnection>> accepted;
  std::lock_guard<std::mutex> lock(mutex_);
  peers.swap(peers_);
  opened.swap(opened_);
  accepted.swap(accepted_);
  acceptor_ = nullptr;
}

}  // namespace quetzal
