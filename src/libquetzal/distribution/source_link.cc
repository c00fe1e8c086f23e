#include "distribution/source_link.h"

#include <algorithm>
#include <utility>

#include "distribution/down_message.h"
#include "distribution/subscriber_acceptor.h"

namespace quetzal {

namespace {

constexpr Duration kQuickSwitchDelay = std::chrono::milliseconds(200);
constexpr Duration kRelaySwitchDelay = std::chrono::milliseconds(1500);

}  // namespace

class SourceLink::Handler final : public MessageChannelHandler {
 public:
  Handler(Executor* executor, std::weak_ptr<SourceLink> link, std::uint64_t epoch)
      : executor_(executor), link_(std::move(link)), epoch_(epoch) {}

  void OnMessage(const std::string& message) override {
    executor_->Post([link = link_, epoch = epoch_, message] {
      if (auto self = link.lock()) self->OnMessage(epoch, message);
    });
  }

  void OnClosed(ResultCode /*code*/) override {
    executor_->Post([link = link_, epoch = epoch_] {
      if (auto self = link.lock()) self->OnClosed(epoch);
    });
  }

 private:
  Executor* executor_;
  std::weak_ptr<SourceLink> link_;
  std::uint64_t epoch_;
};

SourceLink::SourceLink(SourceLinkSettings settings, std::string instance,
                       MessageChannels* channels, Executor* executor, const Clock* clock,
                       Random* random, Callbacks callbacks)
    : settings_(settings),
      instance_(std::move(instance)),
      channels_(channels),
      executor_(executor),
      clock_(clock),
      random_(random),
      callbacks_(std::move(callbacks)),
      backoff_(settings.backoff_base, settings.backoff_cap, random),
      connect_at_(clock->Now()) {}

void SourceLink::SetCandidates(std::vector<Candidate> candidates) {
  const bool other_first =
      candidates.empty() != candidates_.empty() ||
      (!candidates.empty() && !(candidates[0].address == candidates_[0].address));
  candidates_ = std::move(candidates);
  if (other_first) next_ = 0;
  if (channel_ == nullptr) return;
  const std::size_t rank = RankOfCurrent();
  if (rank == candidates_.size()) {
    ScheduleSwitch(Duration{0}, kQuickSwitchDelay);
  } else if (!candidates_.empty() && candidates_[0].relay && !current_.relay) {
    ScheduleSwitch(kRelaySwitchDelay / 3, kRelaySwitchDelay);
  } else {
    switch_scheduled_ = false;
  }
}

std::size_t SourceLink::RankOfCurrent() const {
  for (std::size_t n = 0; n < candidates_.size(); ++n) {
    if (candidates_[n].address == current_.address) return n;
  }
  return candidates_.size();
}

void SourceLink::ScheduleSwitch(Duration min_delay, Duration jitter) {
  if (switch_scheduled_) return;
  switch_scheduled_ = true;
  // The random delay keeps the subscribers of one source from leaving it all at once.
  switch_at_ = clock_->Now() + min_delay + random_->Below(jitter);
  switch_at_ = std::max(switch_at_, hold_until_);
}

void SourceLink::Tick() {
  if (stopped_) return;
  const SteadyTime now = clock_->Now();
  if (channel_ == nullptr) {
    if (now >= connect_at_ && !candidates_.empty()) Connect();
    return;
  }
  if (!welcomed_) {
    if (now - opened_at_ <= ConnectTimeout()) return;
    ++unanswered_;
    return Fail(Duration{0});
  }
  if (now - last_contact_at_ > settings_.source_timeout) return Fail(Duration{0});
  const bool long_without_quorum =
      !quorum_backed_ && now - quorum_backed_at_ > settings_.source_timeout;
  if (long_without_quorum && candidates_.size() > 1 && now >= hold_until_) {
    return Fail(Duration{0});
  }
  if (!switch_scheduled_ || now < switch_at_) return;
  SwitchSource();
}

Duration SourceLink::ConnectTimeout() const {
  // The timeout doubles with each round, so that sources which always answer slowly are
  // not abandoned on every attempt.
  constexpr std::size_t kMaxShift = 10;
  const std::size_t rounds = unanswered_ / std::max<std::size_t>(candidates_.size(), 1);
  return std::min<Duration>(
      settings_.connect_timeout_cap,
      settings_.connect_timeout * (1LL << std::min(rounds, kMaxShift)));
}

void SourceLink::SwitchSource() {
  // The old source keeps sending updates until the new one has answered.
  ClosePrevious();
  previous_ = std::exchange(channel_, nullptr);
  previous_epoch_ = epoch_;
  Close();
  next_ = 0;
  callbacks_.on_lost();
  Connect();
}

void SourceLink::ClosePrevious() {
  const std::shared_ptr<MessageChannel> channel = std::exchange(previous_, nullptr);
  if (channel != nullptr) channel->Close();
}

void SourceLink::Connect() {
  next_ %= candidates_.size();
  current_ = candidates_[next_];
  ++epoch_;
  opened_at_ = clock_->Now();
  channel_ =
      channels_->Open(current_.address, kSubscribePath,
                      std::make_shared<Handler>(executor_, weak_from_this(), epoch_));
  if (channel_ == nullptr) return Fail(Duration{0});
  UpMessage message;
  *message.mutable_subscribe() = callbacks_.subscribe();
  const std::string bytes = message.SerializeAsString();
  bytes_sent_ += bytes.size();
  channel_->Send(bytes);
}

void SourceLink::OnMessage(std::uint64_t epoch, const std::string& bytes) {
  DownMessage message;
  if (previous_ != nullptr && epoch == previous_epoch_) {
    const bool update = DecodeDown(bytes, &message) && message.has_update();
    if (update) callbacks_.on_message(message);
    return;
  }
  if (epoch != epoch_ || channel_ == nullptr) return;
  if (!DecodeDown(bytes, &message)) return Fail(Duration{0});
  bytes_received_ += bytes.size();
  last_contact_at_ = clock_->Now();
  if (message.has_refused()) return OnRefused(message.refused());
  if (message.has_welcome()) {
    ClosePrevious();
    welcomed_ = true;
    quorum_backed_ = false;
    quorum_backed_at_ = last_contact_at_;
    callbacks_.on_addresses({message.welcome().gossip_addresses().begin(),
                             message.welcome().gossip_addresses().end()});
  }
  if (message.has_beat()) {
    const auto& path = message.beat().path();
    // The source receives its configurations from this instance: a loop.
    if (std::find(path.begin(), path.end(), instance_) != path.end()) {
      return Fail(Duration{0});
    }
    OnHeartbeat(message.beat());
  }
  callbacks_.on_message(message);
}

void SourceLink::OnHeartbeat(const Beat& heartbeat) {
  path_.assign(heartbeat.path().begin(), heartbeat.path().end());
  committed_ = heartbeat.committed();
  if (heartbeat.rooted()) {
    quorum_backed_at_ = last_contact_at_;
    failures_in_round_ = 0;
    unanswered_ = 0;
    backoff_.Reset();
  }
  quorum_backed_ = heartbeat.rooted();
}

void SourceLink::OnRefused(const Refused& refused) {
  callbacks_.on_addresses(
      {refused.gossip_addresses().begin(), refused.gossip_addresses().end()});
  Fail(
      std::chrono::milliseconds(std::min<std::uint64_t>(refused.retry_after_ms(), 5000)));
}

void SourceLink::OnClosed(std::uint64_t epoch) {
  if (epoch != epoch_ || channel_ == nullptr) return;
  Fail(Duration{0});
}

void SourceLink::Fail(Duration at_least) {
  const bool was_open = welcomed_;
  const bool was_quorum_backed = quorum_backed_;
  ClosePrevious();
  Close();
  const SteadyTime now = clock_->Now();
  ++next_;
  ++failures_in_round_;
  const Duration wait = std::max(at_least, backoff_.Next());
  // A source that was quorum-backed until now is replaced quickly; other failures back
  // off with jitter.
  connect_at_ =
      now + (was_open && was_quorum_backed ? std::min(wait, kQuickSwitchDelay) : wait);
  if (failures_in_round_ >= candidates_.size() + 1) {
    failures_in_round_ = 0;
    hold_until_ = now + settings_.failed_round_hold;
  }
  if (was_open) callbacks_.on_lost();
}

void SourceLink::Close() {
  const std::shared_ptr<MessageChannel> channel = std::exchange(channel_, nullptr);
  ++epoch_;
  welcomed_ = false;
  quorum_backed_ = false;
  switch_scheduled_ = false;
  path_.clear();
  if (channel != nullptr) channel->Close();
}

bool SourceLink::doubtful() const {
  return !quorum_backed() || clock_->Now() - last_contact_at_ > settings_.heartbeat_limit;
}

bool SourceLink::Send(const UpMessage& message) {
  if (!welcomed_) return false;
  const std::string bytes = message.SerializeAsString();
  bytes_sent_ += bytes.size();
  channel_->Send(bytes);
  return true;
}

void SourceLink::Drop() {
  if (channel_ != nullptr) Fail(Duration{0});
}

void SourceLink::Stop() {
  stopped_ = true;
  ClosePrevious();
  Close();
}

}  // namespace quetzal
