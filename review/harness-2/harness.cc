#include "harness.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

using SteadyClock = std::chrono::steady_clock;

const SteadyClock::time_point started = SteadyClock::now();
std::mutex record_mutex;
std::FILE* record = nullptr;

std::mt19937_64& Random() {
  static std::mt19937_64 random(std::random_device{}());
  return random;
}

sockaddr_in AddressOf(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
  inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
  return address;
}

bool IsFree(const Endpoint& endpoint, int type) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(endpoint);
  const bool free =
      bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  close(fd);
  return free;
}

/// Waits until `fd` has one of `events`, at most until `until`.
bool Await(int fd, short events, double until) {
  pollfd entry{fd, events, 0};
  for (;;) {
    const double left = until - Now();
    if (left <= 0) return false;
    const int n = poll(&entry, 1, static_cast<int>(left * 1000) + 1);
    if (n > 0) return true;
    if (n < 0 && errno != EINTR) return false;
  }
}

std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

std::string Trim(const std::string& text) {
  const auto begin = text.find_first_not_of(" \t");
  if (begin == std::string::npos) return "";
  return text.substr(begin, text.find_last_not_of(" \t\r") - begin + 1);
}

Headers ParseHeaders(const std::string& head) {
  Headers headers;
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  while (std::getline(lines, line)) {
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    headers.emplace_back(Lower(line.substr(0, colon)), Trim(line.substr(colon + 1)));
  }
  return headers;
}

/// Replaces the placeholders and sections of a line of the deploy file (DEPLOY.md).
std::string Expand(std::string text, const std::map<std::string, std::string>& settings) {
  for (;;) {
    const auto open = text.find("{{");
    if (open == std::string::npos) return text;
    const auto close = text.find("}}", open);
    const std::string name = text.substr(open + 2, close - open - 2);
    const auto value_of = [&](const std::string& key) {
      const auto it = settings.find(key);
      return it == settings.end() ? std::string() : it->second;
    };
    if (name[0] != '#' && name[0] != '^') {
      text.replace(open, close + 2 - open, value_of(name));
      continue;
    }
    const std::string key = name.substr(1);
    const std::string end_mark = "{{/" + key + "}}";
    const auto end = text.find(end_mark, close);
    std::string inner = text.substr(close + 2, end - close - 2);
    const std::string value = value_of(key);
    if ((name[0] == '#') == value.empty()) inner.clear();
    const std::string self = "{{.}}";
    for (auto at = inner.find(self); at != std::string::npos; at = inner.find(self)) {
      inner.replace(at, self.size(), value);
    }
    text.replace(open, end + end_mark.size() - open, inner);
  }
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(SteadyClock::now() - started).count();
}

void SleepFor(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void SleepUntil(double at) { SleepFor(at - Now()); }

bool Trouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

void OpenRecord(const std::string& path) { record = std::fopen(path.c_str(), "w"); }

void Log(const char* format, ...) {
  const std::lock_guard<std::mutex> lock(record_mutex);
  if (record == nullptr) return;
  std::fprintf(record, "%8.3f ", Now());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(record, format, arguments);
  va_end(arguments);
  std::fputc('\n', record);
  std::fflush(record);
}

std::string HeaderOf(const Headers& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (key == name) return value;
  }
  return "";
}

std::string NewId() {
  static std::mutex mutex;
  const std::lock_guard<std::mutex> lock(mutex);
  char text[17];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(Random()()));
  return text;
}

bool Connection::Connect(const Endpoint& to, double timeout) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in address = AddressOf(to);
  if (connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
    return true;
  }
  int error = 0;
  socklen_t size = sizeof error;
  if (errno != EINPROGRESS || !Await(fd_, POLLOUT, Now() + timeout) ||
      getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
    Close();
    return false;
  }
  return true;
}

bool Connection::Send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n > 0) {
      sent += static_cast<std::size_t>(n);
    } else if (errno != EAGAIN && errno != EINTR) {
      return false;
    } else if (!Await(fd_, POLLOUT, Now() + 20)) {
      return false;
    }
  }
  return true;
}

bool Connection::Fill(double until) {
  if (!Await(fd_, POLLIN, until)) return false;
  char buf[16384];
  const ssize_t n = recv(fd_, buf, sizeof buf, 0);
  if (n <= 0) {
    Close();
    return false;
  }
  input_.append(buf, static_cast<std::size_t>(n));
  return true;
}

Answer Connection::Read(double until) {
  Answer answer;
  const auto ended = [&] {
    answer.closed = fd_ < 0;
    return answer;
  };
  std::size_t end = 0;
  while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
    if (fd_ < 0 || !Fill(until)) return ended();
  }
  const std::string head = input_.substr(0, end + 2);
  input_.erase(0, end + 4);
  answer.status = head.size() > 12 ? std::atoi(head.c_str() + 9) : 0;
  answer.headers = ParseHeaders(head);
  if (HeaderOf(answer.headers, "transfer-encoding") == "chunked") {
    for (;;) {
      std::size_t line = 0;
      while ((line = input_.find("\r\n")) == std::string::npos) {
        if (fd_ < 0 || !Fill(until)) return ended();
      }
      const std::size_t size = std::strtoul(input_.c_str(), nullptr, 16);
      while (input_.size() < line + 2 + size + 2) {
        if (fd_ < 0 || !Fill(until)) return ended();
      }
      answer.body += input_.substr(line + 2, size);
      input_.erase(0, line + 2 + size + 2);
      if (size == 0) break;
    }
  } else {
    const std::size_t length =
        std::strtoul(HeaderOf(answer.headers, "content-length").c_str(), nullptr, 10);
    while (input_.size() < length) {
      if (fd_ < 0 || !Fill(until)) return ended();
    }
    answer.body = input_.substr(0, length);
    input_.erase(0, length);
  }
  answer.complete = true;
  return ended();
}

void Connection::Close() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
}

Answer Request(const Endpoint& to, const std::string& bytes, double timeout) {
  const double until = Now() + timeout;
  Connection connection;
  if (!connection.Connect(to, timeout) || !connection.Send(bytes)) return {};
  return connection.Read(until);
}

Answer Call(const Endpoint& to, const std::string& method, const std::string& path,
            const std::string& json, double timeout) {
  std::string bytes = method + " " + path + " HTTP/1.1\r\nHost: " + to.Text() +
                      "\r\nConnection: close\r\n";
  if (!json.empty()) {
    bytes += "Content-Type: application/json\r\nContent-Length: " +
             std::to_string(json.size()) + "\r\n";
  }
  return Request(to, bytes + "\r\n" + json, timeout);
}

Server::Server(std::string id, std::string service, std::string zone, Endpoint address,
               Endpoint node, int slots, Events events, bool beats)
    : id_(std::move(id)),
      service_(std::move(service)),
      zone_(std::move(zone)),
      address_(std::move(address)),
      node_(std::move(node)),
      slots_(slots),
      events_(std::move(events)),
      born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address_in = AddressOf(address_);
  if (bind(listener_, reinterpret_cast<const sockaddr*>(&address_in),
           sizeof address_in) != 0 ||
      listen(listener_, 256) != 0) {
    throw CannotRun{"a stand-in server cannot listen on " + address_.Text()};
  }
  acceptor_ = std::thread([this] { Accept(); });
  if (beats) beats_ = std::thread([this] { Beat(); });
}

Server::~Server() {
  stopped_ = true;
  acceptor_.join();
  if (beats_.joinable()) beats_.join();
  while (connections_ > 0) SleepFor(0.01);
  close(listener_);
}

void Server::Accept() {
  while (!stopped_) {
    if (!Await(listener_, POLLIN, Now() + 0.1)) continue;
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (fd < 0) continue;
    ++connections_;
    std::thread([this, fd] {
      Serve(fd);
      close(fd);
      --connections_;
    }).detach();
  }
}

void Server::Serve(int fd) {
  std::string input;
  // Returns false once the peer has ended the connection or the server stops.
  const auto fill = [&] {
    while (!stopped_) {
      if (!Await(fd, POLLIN, Now() + 0.05)) continue;
      char buf[16384];
      const ssize_t n = recv(fd, buf, sizeof buf, 0);
      if (n <= 0) return false;
      input.append(buf, static_cast<std::size_t>(n));
      return true;
    }
    return false;
  };
  for (;;) {
    std::size_t end = 0;
    while ((end = input.find("\r\n\r\n")) == std::string::npos) {
      if (!fill()) return;
    }
    const std::string head = input.substr(0, end + 2);
    input.erase(0, end + 4);
    ServerRequest request;
    std::istringstream line(head);
    line >> request.method >> request.path;
    request.headers = ParseHeaders(head);
    request.id = HeaderOf(request.headers, "x-attempt-id");
    request.length =
        std::strtoull(HeaderOf(request.headers, "content-length").c_str(), nullptr, 10);
    const std::string expected = HeaderOf(request.headers, "x-expect-instance");
    const bool runs = !request.id.empty() && (expected.empty() || expected == id_);
    if (runs && events_.begin) events_.begin(request);
    const auto end_with = [&](bool answered) {
      if (runs && events_.end) events_.end(request, answered);
    };
    const auto read_body = [&] {
      while (input.size() < request.length) {
        if (!fill()) return false;
      }
      input.erase(0, request.length);
      return true;
    };
    if (!read_body()) return end_with(false);
    const double until = Now() + (runs && events_.finish ? events_.finish(request) : 0.0);
    // Work is dropped when the connection closes.
    while (Now() < until) {
      pollfd entry{fd, POLLIN, 0};
      const int left = std::max(1, static_cast<int>((until - Now()) * 1000));
      if (poll(&entry, 1, std::min(left, 20)) <= 0) continue;
      // Finds the end of the connection also behind unread bytes.
      char byte = 0;
      pollfd hangup{fd, POLLRDHUP, 0};
      const bool ended = poll(&hangup, 1, 0) > 0 || recv(fd, &byte, 1, MSG_PEEK) <= 0;
      if (ended) return end_with(false);
      SleepFor(0.005);
    }
    std::string body = runs ? "done " + request.id : "no";
    if (runs && events_.answer_bytes) body.assign(events_.answer_bytes(request), 'b');
    std::string answer = runs ? "HTTP/1.1 200 OK\r\nX-Response-Seal: seal." + request.id
                              : "HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1";
    answer += "\r\nX-Attempt-Id: " + request.id +
              "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const bool cut = runs && events_.breaks_off && events_.breaks_off(request);
    if (cut) answer.resize(answer.size() - body.size() / 2);
    for (std::size_t sent = 0; sent < answer.size();) {
      const ssize_t n =
          send(fd, answer.data() + sent, answer.size() - sent, MSG_NOSIGNAL);
      if (n > 0) {
        sent += static_cast<std::size_t>(n);
      } else if (stopped_ || (errno != EAGAIN && errno != EINTR)) {
        return end_with(false);
      } else {
        Await(fd, POLLOUT, Now() + 0.1);
      }
    }
    end_with(!cut);
    if (!cut) continue;
    SleepFor(0.05);
    return;
  }
}

std::string Server::Heartbeat(int seq) const {
  char json[512];
  std::snprintf(json, sizeof json,
                "{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
                "\"slots\":%d,\"state\":\"ready\",\"coldLeftS\":0,\"seq\":%d,"
                "\"born\":%lld}",
                service_.c_str(), address_.Text().c_str(), zone_.c_str(), slots_, seq,
                born_);
  return json;
}

int Server::Report(const std::string& action, const std::string& json) const {
  const std::string body =
      json.empty() ? "{\"born\":" + std::to_string(born_) + "}" : json;
  return Call(node_, "POST", "/api/instances/" + id_ + "/" + action, body, 1.0).status;
}

void Server::Beat() {
  double next = Now();
  for (int seq = 1; !stopped_; ++seq) {
    next += Report("heartbeat", Heartbeat(seq)) == 200 ? 1.5 : 0.3;
    while (!stopped_ && Now() < next) SleepFor(0.05);
  }
}

Deployment::Deployment(const std::vector<std::string>& services, const Bounds& bounds,
                       int control_count)
    : bounds_(bounds) {
  std::ifstream file("deploy/system.toml");
  deploy_file_.assign(std::istreambuf_iterator<char>(file), {});
  if (deploy_file_.empty()) throw CannotRun{"deploy/system.toml cannot be read"};
  char folder[] = "/tmp/review-2-XXXXXX";
  if (mkdtemp(folder) == nullptr) throw CannotRun{"no temporary folder"};
  folder_ = folder;
  std::uniform_int_distribution<int> byte(16, 250);
  std::uniform_int_distribution<int> port(20'000, 30'000);
  const char* const zones[] = {"haro", "logrono", "cenicero"};
  for (int tries = 0; tries < 50; ++tries) {
    const std::string net = "127." + std::to_string(byte(Random())) + "." +
                            std::to_string(byte(Random())) + ".";
    base_port_ = port(Random());
    controls.clear();
    nodes.clear();
    bool free = true;
    const auto add = [&](std::vector<Machine>* list, const std::string& name, int n,
                         const std::string& service) {
      Machine machine;
      machine.name = name + "-" + zones[n % 3] + "-" + std::to_string(n / 3 + 1);
      machine.ip = net + std::to_string((service.empty() ? 10 : 40) + n);
      machine.zone = zones[n % 3];
      machine.service = service;
      if (service.empty()) machine.folder = folder_ + "/" + machine.name;
      for (int offset = 0; offset < 6; ++offset) {
        const Endpoint endpoint{machine.ip, base_port_ + offset};
        free = free && IsFree(endpoint, SOCK_STREAM) && IsFree(endpoint, SOCK_DGRAM);
      }
      list->push_back(machine);
    };
    for (int n = 0; n < control_count; ++n) add(&controls, "core", n, "");
    for (std::size_t n = 0; n < services.size(); ++n) {
      add(&nodes, "sidecar", static_cast<int>(n), services[n]);
    }
    if (free) break;
    if (tries == 49) throw CannotRun{"no free addresses"};
  }
  for (const Machine& control : controls) mkdir(control.folder.c_str(), 0755);
}

Deployment::~Deployment() {
  for (auto* list : {&controls, &nodes}) {
    for (Machine& machine : *list) {
      if (machine.pid == 0) continue;
      kill(machine.pid, SIGCONT);
      kill(machine.pid, SIGKILL);
      waitpid(machine.pid, nullptr, 0);
    }
  }
  const char* keep = std::getenv("KEEP");
  if (keep != nullptr) {
    Log("output of the programs: %s", folder_.c_str());
    return;
  }
  const std::string remove = "rm -rf " + folder_;
  if (std::system(remove.c_str()) != 0) Log("cannot remove %s", folder_.c_str());
}

std::string Deployment::RunLine(const std::string& role) const {
  const auto section = deploy_file_.find("[roles." + role + "]");
  const auto run = deploy_file_.find("run = \"", section);
  if (section == std::string::npos || run == std::string::npos) {
    throw CannotRun{"deploy/system.toml has no role " + role};
  }
  const auto begin = run + std::strlen("run = \"");
  return deploy_file_.substr(begin, deploy_file_.find('"', begin) - begin);
}

std::map<std::string, std::string> Deployment::SettingsOf(const Machine& machine) const {
  std::string seeds;
  for (std::size_t n = 0; n < 3; ++n) {
    const Machine& control = controls[n];
    seeds += (seeds.empty() ? "" : ",") + Control(control).Text();
  }
  return {{"nodeName", machine.name},
          {"zone", machine.zone},
          {"service", machine.service},
          {"ip", machine.ip},
          {"dataDir", machine.folder},
          {"seeds", seeds},
          {"bootstrap", bootstrap_ ? "true" : "false"},
          {"heartbeatS", bounds_.heartbeat_s},
          {"internalPorts.0", std::to_string(base_port_)},
          {"internalPorts.1", std::to_string(base_port_ + 1)},
          {"listen.outbound", Outbound(machine).Text()},
          {"listen.ready", Ready(machine).Text()},
          {"listen.control", Control(machine).Text()},
          {"bounds.graceS", bounds_.grace_s},
          {"bounds.retryRatio", bounds_.retry_ratio},
          {"bounds.retrySlack", bounds_.retry_slack}};
}

void Deployment::Start(Machine* machine) {
  const std::string role = machine->service.empty() ? "quetzal-control" : "quetzal-node";
  std::vector<std::string> words;
  std::istringstream line(Expand(RunLine(role), SettingsOf(*machine)));
  for (std::string word; line >> word;) words.push_back(word);
  if (access(words[0].c_str(), X_OK) != 0) throw CannotRun{words[0] + " is missing"};
  const std::string path = folder_ + "/" + machine->name + ".log";
  std::vector<char*> arguments;
  for (std::string& word : words) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  const pid_t parent = getpid();
  machine->pid = fork();
  if (machine->pid != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(1);
  signal(SIGPIPE, SIG_DFL);
  const int file = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(file, 1);
  dup2(file, 2);
  execv(arguments[0], arguments.data());
  _exit(127);
}

void Deployment::Kill(Machine* machine, bool wipe) {
  kill(machine->pid, SIGKILL);
  waitpid(machine->pid, nullptr, 0);
  machine->pid = 0;
  if (!wipe) return;
  const std::string command = "rm -rf " + machine->folder + "/*";
  if (std::system(command.c_str()) != 0) throw CannotRun{"cannot empty a data folder"};
}

void Deployment::Signal(const Machine& machine, int signal) { kill(machine.pid, signal); }

bool Deployment::AwaitEnd(Machine* machine, double timeout) {
  const double until = Now() + timeout;
  while (Now() < until) {
    if (waitpid(machine->pid, nullptr, WNOHANG) == machine->pid) {
      machine->pid = 0;
      return true;
    }
    SleepFor(0.02);
  }
  return false;
}

int Deployment::Put(const std::string& configuration) {
  for (int n = 0; n < 60; ++n) {
    const Machine& control = controls[static_cast<std::size_t>(n) % controls.size()];
    const Answer answer =
        Call(Control(control), "POST", "/api/config/put", configuration, 1.0);
    if (answer.status == 200 || (answer.status >= 400 && answer.status < 500)) {
      Log("configuration: %d %s", answer.status, answer.body.c_str());
      return answer.status;
    }
    SleepFor(0.3);
  }
  throw CannotRun{"the configuration was not acknowledged"};
}

bool Deployment::IsReady(const Machine& node) {
  return Call(Ready(node), "GET", "/api/readyz", "", 1.0).status == 200;
}

void Deployment::StartAll(const std::string& configuration, std::size_t spares) {
  for (std::size_t n = 0; n + spares < controls.size(); ++n) Start(&controls[n]);
  for (Machine& node : nodes) Start(&node);
  bootstrap_ = false;
  if (Put(configuration) != 200) throw CannotRun{"the configuration was refused"};
  const double until = Now() + 20;
  for (const Machine& node : nodes) {
    while (!IsReady(node)) {
      if (Now() > until) throw CannotRun{node.name + " does not become ready"};
      SleepFor(0.2);
    }
  }
  // The servers' heartbeats, and the time in which calm machines count as in touch.
  SleepFor(4);
  Log("the deployment is ready");
}

int Main(const char* record_path, const std::function<int()>& run) {
  signal(SIGPIPE, SIG_IGN);
  OpenRecord(record_path);
  try {
    const int code = run();
    Log("%s", code == kHeld ? "the rule was kept" : "the rule was broken");
    return code;
  } catch (const CannotRun& error) {
    Log("cannot run: %s", error.why.c_str());
    std::fprintf(stderr, "cannot run: %s\n", error.why.c_str());
    return kNotRun;
  }
}

}  // namespace review
