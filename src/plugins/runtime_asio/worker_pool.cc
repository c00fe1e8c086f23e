#include "plugins/runtime_asio/worker_pool.h"

#include <csignal>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "base/result_code.h"

namespace quetzal {
namespace {

using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

/// State of a timer. A pending wait keeps it alive after the Timer is destroyed.
struct TimerState {
  TimerState(Strand strand, Duration period, std::function<void()> task)
      : timer(std::move(strand)), period(period), task(std::move(task)) {}

  boost::asio::steady_timer timer;
  Duration period;
  std::function<void()> task;
  bool cancelled = false;
  bool repeats = false;
};

void Arm(const std::shared_ptr<TimerState>& state) {
  state->timer.expires_after(state->period);
  state->timer.async_wait([state](const boost::system::error_code& ec) {
    if (ec || state->cancelled) return;
    state->task();
    if (state->repeats && !state->cancelled) Arm(state);
  });
}

class AsioTimer final : public Timer {
 public:
  AsioTimer(Strand strand, std::shared_ptr<TimerState> state)
      : strand_(std::move(strand)), state_(std::move(state)) {}

  ~AsioTimer() override {
    if (strand_.running_in_this_thread()) {
      Cancel(state_);
    } else {
      boost::asio::post(strand_, [state = state_] { Cancel(state); });
    }
  }

 private:
  static void Cancel(const std::shared_ptr<TimerState>& state) {
    state->cancelled = true;
    state->timer.cancel();
  }

  Strand strand_;
  std::shared_ptr<TimerState> state_;
};

class AsioExecutor final : public Executor {
 public:
  explicit AsioExecutor(boost::asio::io_context& context)
      : strand_(boost::asio::make_strand(context)) {}

  void Post(std::function<void()> task) override {
    boost::asio::post(strand_, std::move(task));
  }

  std::unique_ptr<Timer> After(Duration delay, std::function<void()> task) override {
    return Start(delay, std::move(task), false);
  }

  std::unique_ptr<Timer> Every(Duration period, std::function<void()> task) override {
    return Start(period, std::move(task), true);
  }

 private:
  std::unique_ptr<Timer> Start(Duration period, std::function<void()> task,
                               bool repeats) {
    auto state = std::make_shared<TimerState>(strand_, period, std::move(task));
    state->repeats = repeats;
    boost::asio::post(strand_, [state] {
      if (!state->cancelled) Arm(state);
    });
    return std::make_unique<AsioTimer>(strand_, state);
  }

  Strand strand_;
};

const PluginRegistration<RuntimeRegistry> registration("asio", [](int workers) {
  return std::make_unique<WorkerPool>(workers);
});

}  // namespace

WorkerPool* WorkerPool::Of(Runtime* runtime) {
  auto* pool = dynamic_cast<WorkerPool*>(runtime);
  if (pool) return pool;
  throw Error(ResultCode::kSettingsInvalid, "this plug-in needs the runtime 'asio'");
}

WorkerPool::WorkerPool(int workers) : work_guard_(context_.get_executor()) {
  for (int n = 0; n < workers; ++n) {
    threads_.emplace_back([this] { context_.run(); });
  }
}

WorkerPool::~WorkerPool() { Stop(); }

std::unique_ptr<Executor> WorkerPool::MakeExecutor() {
  return std::make_unique<AsioExecutor>(context_);
}

void WorkerPool::OnStopSignal(std::function<void()> stop) {
  auto signals = std::make_shared<boost::asio::signal_set>(context_, SIGTERM, SIGINT);
  signals->async_wait(
      [stop = std::move(stop)](const boost::system::error_code& ec, int /*signal*/) {
        if (!ec) stop();
      });
  signals_ = signals;
}

void WorkerPool::OnReloadSignal(std::function<void()> reload) {
  reload_signals_ = std::make_shared<boost::asio::signal_set>(context_, SIGHUP);
  reload_ = std::move(reload);
  AwaitReload();
}

void WorkerPool::AwaitReload() {
  reload_signals_->async_wait(
      [this](const boost::system::error_code& ec, int /*signal*/) {
        if (ec) return;
        reload_();
        AwaitReload();
      });
}

void WorkerPool::Stop() {
  work_guard_.reset();
  context_.stop();
  for (std::thread& thread : threads_) {
    if (thread.joinable()) thread.join();
  }
  threads_.clear();
}

}  // namespace quetzal
