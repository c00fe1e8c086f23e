// A loopback proxy between two processes that injects faults into their connections.
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
       "Address that accepts connections."},
      {"to", K::kEndpoint, "address:port", "", 0, 0, true,
       "Address to which connections are forwarded."},
      {"mode-file", K::kText, "", "", 0, 0, true,
       "File with the current fault: pass, delay MS, reset, silent, silent-up or "
       "silent-down (silent: no bytes pass, and the connection stays open)."},
  };
}

/// The current fault. Up is the direction from the side that connected to the proxy to
/// the address that the proxy forwards to.
struct Mode {
  enum class Kind { kPass, kDelay, kReset, kSilent, kSilentUp, kSilentDown };
  Kind kind = Kind::kPass;
  std::chrono::milliseconds delay{0};

  bool BlocksUp() const { return kind == Kind::kSilent || kind == Kind::kSilentUp; }
  bool BlocksDown() const { return kind == Kind::kSilent || kind == Kind::kSilentDown; }
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

/// Reads the mode file again every poll period. Thread-safe.
class ModeReader {
 public:
  explicit ModeReader(std::string path) : path_(std::move(path)) {}

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

/// One connection: two threads forward bytes, each in one direction.
class Tunnel : public std::enable_shared_from_this<Tunnel> {
 public:
  Tunnel(boost::asio::io_context& context, tcp::socket near, ModeReader* mode_reader)
      : near_(std::move(near)), far_(context), mode_reader_(mode_reader) {}

  void Run(const Endpoint& to) {
    boost::system::error_code ec;
    far_.connect(tcp::endpoint(boost::asio::ip::make_address(to.address), to.port), ec);
    if (ec) return ResetBoth();
    near_.set_option(tcp::no_delay(true), ec);
    far_.set_option(tcp::no_delay(true), ec);
    std::thread([self = shared_from_this()] {
      self->Forward(self->far_, self->near_, &Mode::BlocksDown);
    }).detach();
    Forward(near_, far_, &Mode::BlocksUp);
  }

 private:
  /// Waits while the direction is blocked; returns false when the connection must be
  /// reset.
  bool WaitUntilUnblocked(bool (Mode::*blocks)() const) {
    Mode mode = mode_reader_->mode();
    if (mode.kind == Mode::Kind::kDelay) std::this_thread::sleep_for(mode.delay);
    while ((mode.*blocks)() && !reset_) {
      std::this_thread::sleep_for(kPollPeriod);
      mode = mode_reader_->mode();
    }
    return mode.kind != Mode::Kind::kReset;
  }

  void Forward(tcp::socket& from, tcp::socket& to, bool (Mode::*blocks)() const) {
    std::vector<char> buf(kChunkBytes);
    boost::system::error_code ec;
    while (!reset_) {
      const std::size_t n = from.read_some(boost::asio::buffer(buf), ec);
      if (!WaitUntilUnblocked(blocks)) return ResetBoth();
      if (ec) break;
      boost::asio::write(to, boost::asio::buffer(buf.data(), n), ec);
      if (ec) return ResetBoth();
    }
    to.shutdown(tcp::socket::shutdown_send, ec);
  }

  /// Resets both sides, so that neither sees an orderly close.
  void ResetBoth() {
    if (reset_.exchange(true)) return;
    boost::system::error_code ec;
    for (tcp::socket* socket : {&near_, &far_}) {
      socket->set_option(tcp::socket::linger(true, 0), ec);
      socket->shutdown(tcp::socket::shutdown_both, ec);
    }
  }

  tcp::socket near_;
  tcp::socket far_;
  ModeReader* mode_reader_;
  std::atomic<bool> reset_{false};
};

int Run(const Settings& settings) {
  boost::asio::io_context context;
  const Endpoint listen = settings.Address("listen");
  tcp::acceptor acceptor(context,
                         {boost::asio::ip::make_address(listen.address), listen.port});
  ModeReader mode_reader(settings.Text("mode-file"));
  std::cout << "listening" << std::endl;
  for (;;) {
    auto tunnel = std::make_shared<Tunnel>(context, acceptor.accept(), &mode_reader);
    std::thread([tunnel, to = settings.Address("to")] { tunnel->Run(to); }).detach();
  }
}

}  // namespace
}  // namespace quetzal

int main(int argc, char* argv[]) {
  const quetzal::SettingsReader reader(
      "quetzal-fault-proxy",
      "forwards connections and injects the fault that a file names", quetzal::Specs());
  const auto outcome = reader.Read(argc, argv, quetzal::ProcessEnvironment());
  std::cout << outcome.output;
  std::cerr << outcome.errors;
  if (outcome.action == quetzal::StartAction::kExit) return outcome.exit_code;
  return quetzal::Run(outcome.settings);
}
