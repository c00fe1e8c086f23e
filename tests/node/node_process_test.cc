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
