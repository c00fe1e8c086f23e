#include "distribution/subscriber_acceptor.h"

#include <string>
#include <utility>

namespace quetzal {

namespace {

class SubscriberHandler final : public MessageChannelHandler,
                                public std::enable_shared_from_this<SubscriberHandler> {
 public:
  SubscriberHandler(Executor* executor, std::weak_ptr<Fanout> fanout)
      : executor_(executor), fanout_(std::move(fanout)) {}

  void Open(std::shared_ptr<MessageChannel> channel) {
    executor_->Post([self = shared_from_this(), channel = std::move(channel)] {
      auto fanout = self->fanout_.lock();
      if (fanout == nullptr) return channel->Close();
      self->id_ = fanout->Open(channel);
    });
  }

  void OnMessage(const std::string& message) override {
    executor_->Post([self = shared_from_this(), message] {
      if (auto fanout = self->fanout_.lock()) fanout->OnMessage(self->id_, message);
    });
  }

  void OnClosed(ResultCode /*code*/) override {
    executor_->Post([self = shared_from_this()] {
      if (auto fanout = self->fanout_.lock()) fanout->OnClosed(self->id_);
    });
  }

 private:
  Executor* executor_;
  std::weak_ptr<Fanout> fanout_;
  Fanout::SessionId id_ = 0;
};

}  // namespace

void AcceptSubscribers(MessageChannels* channels, Executor* executor,
                       const std::weak_ptr<Fanout>& fanout) {
  channels->Accept(kSubscribePath,
                   [executor, fanout](std::shared_ptr<MessageChannel> channel) {
                     auto handler = std::make_shared<SubscriberHandler>(executor, fanout);
                     handler->Open(std::move(channel));
                     return handler;
                   });
}

}  // namespace quetzal
