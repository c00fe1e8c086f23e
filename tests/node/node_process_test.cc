#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "base/settings.h"
#include "http1/raw_peer.h"

namespace quetzal {
namespace {

/// A running quetzal-node with all ports chosen by the kernel.
class NodeProcess {
 public:
  explicit NodeProcess(std::map<std::string, std::string> settings) {
    for (const char* name : {"callers", "streams", "gossip", "admin"}) {
      settings.emplace(name, "127.0.0.1:0");
    }
    settings.emplace("instance", "node-1");
    settings.emplace("data-centre", "haro");
    settings.emplace("control", "127.0.0.1:9");
    std::vector<std::string> words{QUETZAL_BINARY_DIR "/quetzal-node"};
    for (const auto& [name, value] : settings) {
      words.push_back("--" + name);
      words.push_back(value);
    }
    std::vector<char*> argv;
    for (std::string& word : words) argv.push_back(word.data());
    argv.push_back(nullptr);
    std::array<int, 2> output{};
    std::array<int, 2> errors{};
    EXPECT_EQ(pipe2(output.data(), O_CLOEXEC), 0);
    EXPECT_EQ(pipe2(errors.data(), O_CLOEXEC), 0);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output[1], STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, errors[1], STDERR_FILENO);
    EXPECT_EQ(
        posix_spawn(&pid_, words[0].c_str(), &actions, nullptr, argv.data(), environ), 0);
    posix_spawn_file_actions_destroy(&actions);
    close(output[1]);
    close(errors[1]);
    output_ = fdopen(output[0], "r");
    errors_ = fdopen(errors[0], "r");
  }

  ~NodeProcess() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
    std::fclose(output_);
    std::fclose(errors_);
  }
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  /// Reads the line of addresses; call once.
  void WaitStarted() {
    std::istringstream line(ReadLine(output_));
    for (std::string word; line >> word;) {
      const std::size_t equals = word.find('=');
      addresses_[word.substr(0, equals)] = ParseEndpoint(word.substr(equals + 1));
    }
  }
  Endpoint address(const std::string& name) const { return addresses_.at(name); }

  void Signal(int signal) const { kill(pid_, signal); }

  /// Exit code; blocks until the process has ended.
  int Wait() {
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

  std::string ErrorText() {
    std::string text;
    for (std::string line = ReadLine(errors_); !line.empty(); line = ReadLine(errors_)) {
      text += line;
    }
    return text;
  }

 private:
  static std::string ReadLine(std::FILE* file) {
    std::string line;
    for (int c = std::fgetc(file); c != EOF; c = std::fgetc(file)) {
      line.push_back(static_cast<char>(c));
      if (c == '\n') break;
    }
    return line;
  }

  pid_t pid_ = -1;
  std::FILE* output_ = nullptr;
  std::FILE* errors_ = nullptr;
  std::map<std::string, Endpoint> addresses_;
};

std::string Ask(const Endpoint& endpoint, const std::string& line,
                const std::string& body = "") {
  RawCaller caller(endpoint);
  caller.Send(line + " HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body);
  return caller.ReadAll();
}

TEST(NodeProcessTest, NodeWithoutAConfigurationRefusesAndStopsGracefully) {
  NodeProcess node({});
  node.WaitStarted();
  // Callers are not accepted at all, so that they go to another node at once.
  EXPECT_THROW(RawCaller{node.address("callers")}, boost::system::system_error);

  const std::string announcement =
      R"({"service":"a","address":"127.0.0.1:9","slots":2,"connections":3})";
  const Endpoint admin = node.address("admin");
  EXPECT_NE(Ask(admin, "POST /v1/backend-server", announcement).find("\"state\":\"up\""),
            std::string::npos);
  EXPECT_NE(Ask(admin, "POST /v1/backend-server", "{}").find("\"code\":6001"),
            std::string::npos);
  EXPECT_NE(Ask(admin, "GET /v1/status").find("\"serving\":false"), std::string::npos);
  EXPECT_NE(Ask(admin, "GET /v1/crashing-requests").find("\"crashing_requests\":[]"),
            std::string::npos);
  EXPECT_NE(Ask(admin, "GET /v1/quotas").find("\"teams\":[]"), std::string::npos);
  EXPECT_NE(Ask(admin, "DELETE /v1/crashing-requests/000000000000000a").find("404"),
            std::string::npos);
  EXPECT_NE(Ask(admin, "GET /metrics").find("quetzal_calls_refused_total 0"),
            std::string::npos);
  EXPECT_NE(Ask(admin, "DELETE /v1/backend-server").find("leaving"), std::string::npos);

  node.Signal(SIGTERM);
  node.Signal(SIGTERM);
  EXPECT_EQ(node.Wait(), kExitOk);
  const std::string events = node.ErrorText();
  EXPECT_NE(events.find("\"event\":\"process.started\""), std::string::npos);
  EXPECT_NE(events.find("\"event\":\"process.stopped\",\"cut\":\"0\""),
            std::string::npos);
}

/// A port that is free now.
Endpoint FreeEndpoint() {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return {"127.0.0.1", acceptor.local_endpoint().port()};
}

// Guards against a heartbeat of another writer that ends the process or keeps it from
// hearing its own server.
TEST(NodeProcessTest, OddHeartbeatsLeaveTheOthersInForce) {
  const Endpoint heartbeats = FreeEndpoint();
  NodeProcess node({{"service", "desk"},
                    {"server-interface", "platform"},
                    {"heartbeats", heartbeats.ToString()}});
  node.WaitStarted();
  const auto send = [&](const std::string& fields) {
    return Ask(heartbeats, "POST /api/instances/i-1/heartbeat", fields)
        .substr(0, std::string("HTTP/1.1 200").size());
  };
  const auto heartbeat = [](const std::string& addr, const std::string& slots,
                            const std::string& sequence, const std::string& born) {
    return R"({"service":"desk","state":"ready","addr":")" + addr + R"(","slots":)" +
           slots + R"(,"seq":)" + sequence + R"(,"born":)" + born + "}";
  };
  const std::string addr = "127.0.0.1:9";
  const std::string good = heartbeat(addr, "6", "1", "1784739888000");
  EXPECT_EQ(send(good), "HTTP/1.1 200");
  const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
  std::string deep_object;
  for (int n = 0; n < 100'000; ++n) deep_object += R"({"a":)";
  for (const std::string& odd : {
           deep,
           deep_object,
           deep_object + "1" + std::string(100'000, '}'),
           heartbeat(addr, deep, "2", "1784739888000"),
           heartbeat(addr, "6", "1e999", "1784739888000"),
           heartbeat(addr, "6", "18446744073709551615", "1784739888000"),
           heartbeat(addr, "6", "99999999999999999999999", "1784739888000"),
           heartbeat(addr, "6", "2", "-1"),
           heartbeat(addr, "6", "2", "1e18"),
           heartbeat(addr, "6", "2", "4000000000000000"),
           heartbeat(addr, "-6", "2", "1784739888000"),
           heartbeat(addr, "1e30", "2", "1784739888000"),
           heartbeat("127.0.0.1:65536", "6", "2", "1784739888000"),
           heartbeat("127.0.0.1:-1", "6", "2", "1784739888000"),
           heartbeat("127.0.0.1:99999999999999999999", "6", "2", "1784739888000"),
           heartbeat("127.0.0.1:", "6", "2", "1784739888000"),
           std::string("\xff\xfe{"),
       }) {
    EXPECT_EQ(send(odd), "HTTP/1.1 400") << odd.substr(0, 120);
  }
  // Nesting in a field that nobody reads.
  std::string with_unknown_field = heartbeat(addr, "6", "3", "1784739888000");
  with_unknown_field.insert(1, "\"x\":" + deep + ",");
  EXPECT_EQ(send(with_unknown_field), "HTTP/1.1 200");
  EXPECT_EQ(send(heartbeat(addr, "7", "4", "1784739888000")), "HTTP/1.1 200");
  EXPECT_NE(Ask(node.address("admin"), "GET /v1/status").find("\"slots\":7"),
            std::string::npos);
  node.Signal(SIGTERM);
  EXPECT_EQ(node.Wait(), kExitOk);
}

TEST(NodeProcessTest, TakenPortHasItsExitCode) {
  NodeProcess first({});
  first.WaitStarted();
  NodeProcess second({{"callers", first.address("callers").ToString()}});
  EXPECT_EQ(second.Wait(), kExitPortTaken);
  EXPECT_NE(second.ErrorText().find("cannot listen on"), std::string::npos);
  first.Signal(SIGTERM);
  EXPECT_EQ(first.Wait(), kExitOk);
}

TEST(NodeProcessTest, WrongSettingsAreNamedTogether) {
  NodeProcess node({{"workers", "0"}, {"callers", "localhost:1"}});
  EXPECT_EQ(node.Wait(), kExitSettings);
  const std::string errors = node.ErrorText();
  EXPECT_NE(errors.find("workers (flag --workers) '0' is out of range"),
            std::string::npos);
  EXPECT_NE(errors.find("callers (flag --callers)"), std::string::npos);
}

}  // namespace
}  // namespace quetzal
