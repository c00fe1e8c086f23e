// A loopback proxy between two processes that harms what passes through it.
#include <atomic>
#include <chrono>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "base/result_code.h"
#include "base/settings.h"

namespace quetzal {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kChunkBytes = std::size_t{16} * 1024;
constexpr std::chrono::milliseconds kPollPeriod{20};

std::vector<SettingSpec> Specs() {
  using K = SettingKind;
  return {
      {"listen", K::kEndpoint, "address:port", "", 0, 0, true,
       "Address that takes connections."},
      {"to", K::kEndpoint, "address:port", "", 0, 0, true,
       "Address to which they are passed on."},
      {"mode-file", K::kText, "", "", 0, 0, true,
       "File with the fault in force: pass, delay MS, reset, silent, silent-up or "
       "silent-down (nothing passes, without an end)."},
  };
}

/// The fault in force.
struct Mode {
  enum class Kind { kPass, kDelay, kReset, kSilent, kSilentUp, kSilentDown };
  Kind kind = Kind::kPass;
  std::chrono::milliseconds delay{0};

  bool StopsUp() const { return kind == Kind::kSilent || kind == Kind::kSilentUp; }
  bool StopsDown() const { return kind == Kind::kSilent || kind == Kind::kSilentDown; }
};

Mode ReadMode(const std::string& path) {
  std::ifstream file(path);
  std::string word;
  Mode mode;
  if (!(file >> word)) return mode;
  if (word == "reset") mode.kind = Mode::Kind::kReset;
  if (word == "silent") mode.kind = Mode::Kind::kSilent;
  if (word == "silent-up") mode.kind = Mode::Kind::kSilentUp;
  if (word == "silent-down") mode.kind = Mode::Kind::kSilentDown;
  int ms = 0;
  if (word == "delay" && file >> ms) {
    mode.kind = Mode::Kind::kDelay;
    mode.delay = std::chrono::milliseconds(ms);
  }
  return mode;
}

/// The mode file, read again every poll period. Safe for use from several threads.
class ModeWatch {
 public:
  explicit ModeWatch(std::string path) : path_(std::move(path)) {}

  Mode mode() {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    if (now - read_at_ >= kPollPeriod) {
      mode_ = ReadMode(path_);
      read_at_ = now;
    }
    return mode_;
  }

 private:
  const std::string path_;
  std::mutex mutex_;
  Mode mode_;
  std::chrono::steady_clock::time_point read_at_;
};

/// One connection: two threads pass bytes on, each in one direction.
class Tunnel : public std::enable_shared_from_this<Tunnel> {
 public:
  Tunnel(boost::asio::io_context& context, tcp::socket near, ModeWatch* watch)
      : near_(std::move(near)), far_(context), watch_(watch) {}

  void Run(const Endpoint& to) {
    boost::system::error_code ec;
    far_.connect(tcp::endpoint(boost::asio::ip::make_address(to.address), to.port), ec);
    if (ec) return Break();
    near_.set_option(tcp::no_delay(true), ec);
    far_.set_option(tcp::no_delay(true), ec);
    std::thread([self = shared_from_this()] {
      self->Pump(self->far_, self->near_, &Mode::StopsDown);
    }).detach();
    Pump(near_, far_, &Mode::StopsUp);
  }

 private:
  /// Waits while nothing may pass; false when the connection is to be reset.
  bool MayPass(bool (Mode::*stops)() const) {
    Mode mode = watch_->mode();
    if (mode.kind == Mode::Kind::kDelay) std::this_thread::sleep_for(mode.delay);
    while ((mode.*stops)() && !broken_) {
      std::this_thread::sleep_for(kPollPeriod);
      mode = watch_->mode();
    }
    return mode.kind != Mode::Kind::kReset;
  }

  void Pump(tcp::socket& from, tcp::socket& to, bool (Mode::*stops)() const) {
    std::vector<char> buf(kChunkBytes);
    boost::system::error_code ec;
    while (!broken_) {
      const std::size_t n = from.read_some(boost::asio::buffer(buf), ec);
      if (!MayPass(stops)) return Break();
      if (ec) break;
      boost::asio::write(to, boost::asio::buffer(buf.data(), n), ec);
      if (ec) return Break();
    }
    to.shutdown(tcp::socket::shutdown_send, ec);
  }

  /// Both sides see a reset, not an orderly end.
  void Break() {
    if (broken_.exchange(true)) return;
    boost::system::error_code ec;
    for (tcp::socket* socket : {&near_, &far_}) {
      socket->set_option(tcp::socket::linger(true, 0), ec);
      socket->shutdown(tcp::socket::shutdown_both, ec);
    }
  }

  tcp::socket near_;
  tcp::socket far_;
  ModeWatch* watch_;
  std::atomic<bool> broken_{false};
};

int Run(const Settings& settings) {
  boost::asio::io_context context;
  const Endpoint listen = settings.Address("listen");
  tcp::acceptor acceptor(context,
                         {boost::asio::ip::make_address(listen.address), listen.port});
  ModeWatch watch(settings.Text("mode-file"));
  std::cout << "listening" << std::endl;
  for (;;) {
    auto tunnel = std::make_shared<Tunnel>(context, acceptor.accept(), &watch);
    std::thread([tunnel, to = settings.Address("to")] { tunnel->Run(to); }).detach();
  }
}

}  // namespace
}  // namespace quetzal

int main(int argc, char* argv[]) {
  const quetzal::SettingsReader reader("quetzal-fault-proxy",
                                       "passes connections on and harms them by a file",
                                       quetzal::Specs());
  const auto outcome = reader.Read(argc, argv, quetzal::ProcessEnvironment());
  std::cout << outcome.output;
  std::cerr << outcome.errors;
  if (outcome.action == quetzal::StartAction::kExit) return outcome.exit_code;
  return quetzal::Run(outcome.settings);
}
