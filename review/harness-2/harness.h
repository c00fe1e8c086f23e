// Starts the project's programs as a small deployment on loopback addresses, with the
// commands of deploy/system.toml, and provides the stand-ins of the cases: backend
// servers, clients and the operator. Each case is one program that includes this header.
#ifndef REVIEW_HARNESS_2_HARNESS_H_
#define REVIEW_HARNESS_2_HARNESS_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

constexpr int kHeld = 0;    ///< The rule was kept.
constexpr int kBroken = 1;  ///< The rule was broken.
constexpr int kNotRun = 2;  ///< The case could not run.

/// Seconds since the start of the case.
double Now();
void SleepUntil(double at);
void SleepFor(double seconds);

/// False with TROUBLE=0: the case runs without its disruption.
bool Trouble();

/// Writes one line with the time to record.txt. Thread-safe.
void Log(const char* format, ...) __attribute__((format(printf, 1, 2)));
void OpenRecord(const std::string& path);

/// Thrown when the case cannot run; Main() reports it with kNotRun.
struct CannotRun {
  std::string why;
};

struct Endpoint {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

/// Header names are lower-case.
using Headers = std::vector<std::pair<std::string, std::string>>;
std::string HeaderOf(const Headers& headers, const std::string& name);

struct Answer {
  int status = 0;         ///< 0: none.
  bool complete = false;  ///< All bytes of the stated length have arrived.
  bool closed = false;    ///< The connection ended.
  Headers headers;
  std::string body;
};

/// A blocking TCP connection of a client.
class Connection {
 public:
  Connection() = default;
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Connect(const Endpoint& to, double timeout);
  bool Send(const std::string& bytes);
  /// Reads one answer with a Content-Length or in chunks, at most until `until`.
  Answer Read(double until);
  void Close();

 private:
  bool Fill(double until);

  int fd_ = -1;
  std::string input_;
};

/// One request on a connection of its own.
Answer Request(const Endpoint& to, const std::string& bytes, double timeout);
Answer Call(const Endpoint& to, const std::string& method, const std::string& path,
            const std::string& json, double timeout);

/// A request that a backend server has begun to read.
struct ServerRequest {
  std::string method;
  std::string path;
  std::string id;  ///< X-Attempt-Id.
  Headers headers;
  std::uint64_t length = 0;  ///< Of the body.
};

/// A backend server: sends heartbeats to the node of its machine and serves one request
/// at a time on each connection, each connection on a thread of its own.
class Server {
 public:
  /// `begin` is called when the head of a request has been read, that is, when the server
  /// begins to work on it; `finish` when its body is complete, and returns the time that
  /// the rest of the work takes; `end` with true when the answer was sent, with false
  /// when the connection ended before.
  struct Events {
    std::function<void(const ServerRequest&)> begin;
    std::function<double(const ServerRequest&)> finish;
    std::function<void(const ServerRequest&, bool answered)> end;
    /// True when the server is to break off its answer in the middle.
    std::function<bool(const ServerRequest&)> breaks_off;
    /// Size of the body of an answer; null: a few bytes.
    std::function<std::size_t(const ServerRequest&)> answer_bytes;
  };

  /// Without `beats`, the case sends the heartbeats itself.
  Server(std::string id, std::string service, std::string zone, Endpoint address,
         Endpoint node, int slots, Events events, bool beats = true);
  ~Server();

  /// The body of a heartbeat.
  std::string Heartbeat(int seq) const;
  /// Sends a heartbeat or, with an empty body, that the server leaves; returns the
  /// status.
  int Report(const std::string& action, const std::string& json) const;

 private:
  void Accept();
  void Serve(int fd);
  void Beat();

  const std::string id_;
  const std::string service_;
  const std::string zone_;
  const Endpoint address_;
  const Endpoint node_;
  const int slots_;
  const Events events_;
  const long long born_;  ///< Start of the server, in milliseconds since 1970.
  int listener_ = -1;
  std::atomic<bool> stopped_{false};
  std::atomic<int> connections_{0};
  std::thread acceptor_;
  std::thread beats_;
};

struct Machine {
  std::string name;
  std::string ip;
  std::string zone;
  std::string service;  ///< Empty for control machines.
  std::string folder;   ///< Data folder of control machines.
  pid_t pid = 0;
};

/// Settings of a deployment that the cases vary.
struct Bounds {
  std::string grace_s = "6";
  std::string heartbeat_s = "1.5";
  std::string retry_ratio = "0.2";
  std::string retry_slack = "64";
};

/// `control_count` control machines, of which the first three are the seeds, and
/// `services.size()` nodes, one zone each in turn.
class Deployment {
 public:
  Deployment(const std::vector<std::string>& services, const Bounds& bounds,
             int control_count = 3);
  ~Deployment();

  void Start(Machine* machine);
  void Signal(const Machine& machine, int signal);
  /// Ends the process at once and, with `wipe`, empties its data folder.
  void Kill(Machine* machine, bool wipe = false);
  /// Waits until the process has ended; returns false at the timeout.
  bool AwaitEnd(Machine* machine, double timeout);

  /// Starts all machines but the last `spares` control machines, sends `configuration`
  /// until it is acknowledged and waits until all nodes are ready.
  void StartAll(const std::string& configuration, std::size_t spares = 0);
  /// Sends a configuration until one control machine acknowledges or refuses it.
  int Put(const std::string& configuration);
  bool IsReady(const Machine& node);

  Endpoint Outbound(const Machine& m) const { return {m.ip, base_port_ + 2}; }
  Endpoint Ready(const Machine& m) const { return {m.ip, base_port_ + 3}; }
  Endpoint Control(const Machine& m) const { return {m.ip, base_port_ + 4}; }
  Endpoint App(const Machine& m) const { return {m.ip, base_port_ + 5}; }

  std::vector<Machine> controls;
  std::vector<Machine> nodes;

 private:
  std::string RunLine(const std::string& role) const;
  std::map<std::string, std::string> SettingsOf(const Machine& machine) const;

  const Bounds bounds_;
  int base_port_ = 0;
  std::string folder_;
  std::string deploy_file_;
  bool bootstrap_ = true;  ///< Of the machines that start from now on.
};

/// Runs the case in the repository's root and maps CannotRun to kNotRun.
int Main(const char* record, const std::function<int()>& run);

std::string NewId();

}  // namespace review

#endif  // REVIEW_HARNESS_2_HARNESS_H_
