#include "distribution/publisher.h"

#include <atomic>
#include <mutex>
#include <utility>
#include <vector>

#include "distribution/subscriber_acceptor.h"
#include "membership/version_order.h"

namespace quetzal {

namespace {

constexpr std::size_t kMaxKnownAddresses = 64;
constexpr std::size_t kAddressesPerAnswer = 6;

}  // namespace

class Publisher::Core : public std::enable_shared_from_this<Core> {
 public:
  Core(std::string instance, FanoutSettings settings, Dependencies dependencies,
       Barrier barrier, AckSink on_ack)
      : instance_(std::move(instance)),
        settings_(settings),
        dependencies_(dependencies),
        barrier_(std::move(barrier)),
        on_ack_(std::move(on_ack)) {}

  void Start() {
    Fanout::Callbacks callbacks;
    callbacks.on_ack = [this](const NodeAck& ack) { on_ack_(FromMessage(ack)); };
    callbacks.verify = [this](std::uint64_t nonce) { Verify(nonce); };
    callbacks.gossip_addresses = [this] { return SomeAddresses(); };
    callbacks.admit = [this](const Subscribe& subscribe) { return Admit(subscribe); };
    fanout_ = std::make_shared<Fanout>(settings_, instance_, dependencies_.clock,
                                       dependencies_.random, std::move(callbacks));
    // The fanout calls back into this object, so a reference to it keeps both alive.
    const std::shared_ptr<Fanout> shared(shared_from_this(), fanout_.get());
    AcceptSubscribers(dependencies_.channels, dependencies_.executor, shared);
    timer_ = dependencies_.executor->Every(settings_.heartbeat_period,
                                           [weak = weak_from_this()] {
                                             if (auto core = weak.lock())
                                               core->SendHeartbeats();
                                           });
  }

  void Stop() {
    timer_.reset();
    Post([this] { fanout_->CloseAll(); });
  }

  /// Configurations that follow each other before the executor runs, as when a log is
  /// replayed, are not sent one by one.
  void Publish(const Version& version, std::shared_ptr<const Configuration> value) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const bool scheduled = unpublished_ != nullptr;
      if (scheduled && !IsOlder(unpublished_version_, version)) return;
      unpublished_ = std::move(value);
      unpublished_version_ = version;
      if (scheduled) return;
    }
    Post([this] { PublishLatest(); });
  }

  void SetQuorumBacked(bool quorum_backed) {
    Post([this, quorum_backed] {
      quorum_backed_ = quorum_backed;
      fanout_->SetSource(quorum_backed, {});
    });
  }

  std::size_t sessions() const { return sessions_; }
  std::uint64_t bytes_sent() const { return bytes_sent_; }

 private:
  template <class Task>
  void Post(Task task) {
    dependencies_.executor->Post(
        [self = shared_from_this(), task = std::move(task)] { task(); });
  }

  void PublishLatest() {
    std::shared_ptr<const Configuration> value;
    Version version;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      value = std::exchange(unpublished_, nullptr);
      version = unpublished_version_;
    }
    fanout_->Publish(version, Measured(value));
    UpdateCounters();
  }

  void SendHeartbeats() {
    fanout_->SendHeartbeats();
    UpdateCounters();
  }

  void UpdateCounters() {
    sessions_ = fanout_->sessions();
    bytes_sent_ = fanout_->bytes_sent();
  }

  ResultCode Admit(const Subscribe& subscribe) {
    // Without a quorum the local log may be behind: it would send old configurations and
    // could not prove which version is committed.
    if (!quorum_backed_) return ResultCode::kNotRooted;
    if (!subscribe.gossip_address().empty()) {
      const std::string& address = subscribe.gossip_address();
      if (addresses_.size() < kMaxKnownAddresses) {
        addresses_.push_back(address);
      } else {
        addresses_[dependencies_.random->Below(addresses_.size())] = address;
      }
    }
    return ResultCode::kOk;
  }

  std::vector<std::string> SomeAddresses() {
    std::vector<std::string> some;
    for (std::size_t n = 0; n < kAddressesPerAnswer && !addresses_.empty(); ++n) {
      some.push_back(addresses_[dependencies_.random->Below(addresses_.size())]);
    }
    return some;
  }

  void Verify(std::uint64_t nonce) {
    if (barrier_ == nullptr) {
      Post([this, nonce] {
        fanout_->AnswerQuestion(nonce, quorum_backed_, fanout_->history().version());
      });
      return;
    }
    barrier_([weak = weak_from_this(), nonce](bool proved) {
      auto core = weak.lock();
      if (core == nullptr) return;
      core->Post([core = core.get(), nonce, proved] {
        core->fanout_->AnswerQuestion(nonce, proved, core->fanout_->history().version());
      });
    });
  }

  std::string instance_;
  FanoutSettings settings_;
  Dependencies dependencies_;
  Barrier barrier_;
  AckSink on_ack_;
  std::shared_ptr<Fanout> fanout_;
  std::unique_ptr<Timer> timer_;
  bool quorum_backed_ = false;
  std::vector<std::string> addresses_;
  std::mutex mutex_;  ///< Guards the next two members. Leaf lock.
  std::shared_ptr<const Configuration> unpublished_;
  Version unpublished_version_;
  std::atomic<std::size_t> sessions_{0};
  std::atomic<std::uint64_t> bytes_sent_{0};
};

Publisher::Publisher(std::string instance, FanoutSettings settings,
                     Dependencies dependencies, Barrier barrier, AckSink on_ack)
    : core_(std::make_shared<Core>(std::move(instance), settings, dependencies,
                                   std::move(barrier), std::move(on_ack))) {}

Publisher::~Publisher() { core_->Stop(); }

void Publisher::Start() { core_->Start(); }

void Publisher::Publish(const Version& version,
                        std::shared_ptr<const Configuration> configuration) {
  core_->Publish(version, std::move(configuration));
}

void Publisher::SetQuorumBacked(bool quorum_backed) {
  core_->SetQuorumBacked(quorum_backed);
}

void Publisher::Stop() { core_->Stop(); }

std::size_t Publisher::sessions() const { return core_->sessions(); }

std::uint64_t Publisher::bytes_sent() const { return core_->bytes_sent(); }

}  // namespace quetzal
