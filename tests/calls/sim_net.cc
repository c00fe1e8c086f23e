#include "calls/sim_net.h"

#include <algorithm>

namespace quetzal {

struct SimNet::Pair {
  struct Side {
    std::string host;
    std::shared_ptr<StreamHandler> handler;
    std::size_t unread = 0;  ///< Bytes sent by this side that the peer has not consumed.
    bool ended = false;
    SteadyTime last_arrival{};
  };

  Side sides[2];
  bool closed = false;

  void Finish(ResultCode code) {
    closed = true;
    for (Side& side : sides) {
      auto handler = std::move(side.handler);
      if (handler) handler->OnReset(code);
    }
  }
};

namespace {

class SimStream final : public Stream {
 public:
  SimStream(SimNet* net, std::shared_ptr<SimNet::Pair> pair, int side_index)
      : net_(net), pair_(std::move(pair)), side_index_(side_index) {}

  void SendHeaders(StreamHeaders headers, bool end) override {
    Deliver("headers", [headers = std::move(headers)](StreamHandler* handler) {
      handler->OnHeaders(headers);
    });
    if (end) End();
  }

  void SendData(std::string bytes, bool end) override {
    if (!bytes.empty()) {
      pair_->sides[side_index_].unread += bytes.size();
      Deliver("data", [bytes = std::move(bytes)](StreamHandler* handler) {
        handler->OnData(bytes);
      });
    }
    if (end) End();
  }

  void Reset() override {
    pair_->sides[side_index_].handler.reset();
    Deliver("reset", [pair = pair_](StreamHandler* handler) {
      pair->closed = true;
      handler->OnReset(ResultCode::kStreamReset);
    });
  }

  void Consume(std::size_t n) override {
    auto& sender = pair_->sides[1 - side_index_];
    sender.unread -= std::min(n, sender.unread);
    Deliver("credit", [](StreamHandler* handler) { handler->OnWritable(); });
  }

  std::size_t buffered_bytes() const override { return pair_->sides[side_index_].unread; }

 private:
  void End() {
    Deliver("end", [pair = pair_, side_index = side_index_](StreamHandler* handler) {
      pair->sides[side_index].ended = true;
      handler->OnEnd();
      if (!pair->sides[1 - side_index].ended) return;
      pair->sides[0].handler.reset();
      pair->sides[1].handler.reset();
    });
  }

  template <class Event>
  void Deliver(const char* kind, Event event) {
    const std::string from = pair_->sides[side_index_].host;
    const std::string to = pair_->sides[1 - side_index_].host;
    if (net_->should_drop && net_->should_drop(from, to, kind)) return;
    const Duration delay = net_->DelayAfter(&pair_->sides[side_index_].last_arrival);
    net_->loop->Schedule(delay,
                         [net = net_, pair = pair_, side_index = side_index_, event] {
                           if (pair->closed) return;
                           if (!net->Passes(pair->sides[0].host, pair->sides[1].host))
                             return;
                           auto handler = pair->sides[1 - side_index].handler;
                           if (handler) event(handler.get());
                         });
  }

  SimNet* net_;
  std::shared_ptr<SimNet::Pair> pair_;
  int side_index_;
};

}  // namespace

SimNet::~SimNet() {
  // Open streams and their handlers own each other; this breaks the cycle.
  for (const auto& weak : pairs) {
    auto pair = weak.lock();
    if (!pair) continue;
    pair->closed = true;
    for (Pair::Side& side : pair->sides) side.handler.reset();
  }
}

void SimNet::Kill(const std::string& host) {
  down.insert(host);
  const auto all = pairs;
  for (const auto& weak : all) {
    auto pair = weak.lock();
    if (!pair || pair->closed) continue;
    for (int n : {0, 1}) {
      // A dead process receives no reset.
      if (pair->sides[n].host == host) pair->sides[n].handler.reset();
    }
    if (pair->sides[0].host == host || pair->sides[1].host == host) {
      pair->Finish(ResultCode::kConnectionLost);
    }
  }
}

void SimNet::CutStreams(const std::string& a, const std::string& b) {
  const auto all = pairs;
  for (const auto& weak : all) {
    auto pair = weak.lock();
    if (!pair || pair->closed) continue;
    const auto& x = pair->sides[0].host;
    const auto& y = pair->sides[1].host;
    if ((x == a && y == b) || (x == b && y == a)) {
      pair->Finish(ResultCode::kConnectionLost);
    }
  }
}

std::shared_ptr<Stream> SimTransport::Open(const Endpoint& peer, const std::string& path,
                                           StreamHeaders headers, bool end,
                                           std::shared_ptr<StreamHandler> handler) {
  auto pair = std::make_shared<SimNet::Pair>();
  pair->sides[0] = {host_, std::move(handler)};
  pair->sides[1] = {peer.address, nullptr};
  net_->pairs.push_back(pair);
  if (net_->on_open) net_->on_open(host_, headers);
  SimNet* net = net_;
  const bool lost =
      !*alive_ || (net->should_drop && net->should_drop(host_, peer.address, "open"));
  const Duration delay = net->DelayAfter(&pair->sides[0].last_arrival);
  net->loop->Schedule(delay, [net, pair, peer, path, headers, end, lost] {
    if (pair->closed || lost || !net->Passes(pair->sides[0].host, peer.address)) return;
    auto it = net->listeners.find(peer);
    if (net->down.count(peer.address) > 0 || it == net->listeners.end()) {
      return pair->Finish(ResultCode::kConnectFailed);
    }
    auto stream = std::make_shared<SimStream>(net, pair, 1);
    auto accepted = it->second(path, headers, stream);
    if (!accepted) return pair->Finish(ResultCode::kMethodUnknown);
    pair->sides[1].handler = accepted;
    if (!end) return;
    pair->sides[0].ended = true;
    accepted->OnEnd();
  });
  return std::make_shared<SimStream>(net, pair, 0);
}

void SimRpc::Call(const Endpoint& peer, const std::string& method, std::string request,
                  Duration timeout, RpcReply reply) {
  if (!*alive_) return;
  auto once = std::make_shared<RpcReply>(std::move(reply));
  auto answer = [once, alive = alive_](ResultCode code, const std::string& body) {
    auto callback = std::exchange(*once, nullptr);
    if (callback && *alive) callback(code, body);
  };
  SimNet* net = net_;
  net->loop->Schedule(timeout, [answer] { answer(ResultCode::kTimeout, {}); });
  if (net->should_drop && net->should_drop(self_.address, peer.address, method)) return;
  net->loop->Schedule(net->delay, [net, self = self_, peer, method, request, answer] {
    if (!net->Passes(self.address, peer.address)) return;
    if (net->down.count(peer.address) > 0) {
      return answer(ResultCode::kConnectFailed, {});
    }
    auto it = net->methods[peer].find(method);
    if (it == net->methods[peer].end()) return answer(ResultCode::kMethodUnknown, {});
    it->second(request,
               [net, self, peer, answer](ResultCode code, const std::string& body) {
                 net->loop->Schedule(net->delay, [net, self, peer, answer, code, body] {
                   if (net->Passes(self.address, peer.address)) answer(code, body);
                 });
               });
  });
}

}  // namespace quetzal
