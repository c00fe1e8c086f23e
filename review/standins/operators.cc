// Operators of the platform. Sends changes of the configuration that compete for one
// base, each until it has a clear answer, then reads the configuration back and compares
// it with the change that was acknowledged.
//
//   operators STATE RECORD ROUTES CHANGES ADDRESS...
//
// STATE keeps the acknowledged configuration between calls. Exits with 0 when the
// configuration read is the acknowledged one byte for byte, 1 when it is another one, 2
// when no change was acknowledged or nothing could be read.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds kAnswerTimeout{
    1000};  // PROTOCOL.md: "a second without a response"
constexpr milliseconds kFirstBackoff{20};
constexpr milliseconds kMaxBackoff{60};
constexpr std::chrono::seconds kGiveUp{15};

/// Routes whose service may change. The others stay as they are.
constexpr std::size_t kMovingRoutes = 12;
constexpr const char* kServices[] = {"huvo11a", "wuno96b"};

struct State {
  std::uint32_t version = 0;
  std::string services =
      std::string(kMovingRoutes, '0');  ///< Index of each moving route's service.
};

std::string Hex(std::uint32_t number) {
  char text[9];
  std::snprintf(text, sizeof text, "%08x", number);
  return text;
}

std::string MakeOrder(const State& state, std::uint32_t base, std::size_t routes) {
  std::string json = "{\"version\":\"" + Hex(state.version) + "\",\"routes\":[";
  for (std::size_t n = 0; n < routes; ++n) {
    char head[128];
    std::snprintf(
        head, sizeof head,
        "%s{\"name\":\"r-%05zu\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/p%05zu/\"",
        n == 0 ? "" : ",", n, n);
    const std::size_t step = routes / kMovingRoutes;
    const bool moves = n % step == 0 && n / step < kMovingRoutes;
    const int service = moves ? state.services[n / step] - '0' : 0;
    json += head;
    json +=
        ",\"kind\":\"safe\",\"timeoutS\":1,\"sloS\":0.4,\"priority\":1,\"service\":\"";
    json += kServices[service];
    json += "\",\"attempts\":2}";
  }
  json += "],\"services\":[";
  for (const char* service : kServices) {
    if (service != kServices[0]) json += ",";
    json += std::string("{\"name\":\"") + service +
            "\",\"healthPath\":\"/"
            "healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}";
  }
  json +=
      "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
      "\"headerTimeoutS\":3,\"idleTimeoutS\":15},\"baseVersion\":\"" +
      Hex(base) + "\"}";
  return json;
}

int Remaining(Clock::time_point until) {
  const auto ms = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
  return static_cast<int>(std::max<std::int64_t>(0, ms));
}

/// Returns the status and fills `body`; 0 without a complete answer.
int Exchange(const std::string& address, const std::string& request, std::string* body) {
  const auto until = Clock::now() + kAnswerTimeout;
  const std::size_t colon = address.rfind(':');
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return 0;
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  int status = 0;
  if (connect(fd, reinterpret_cast<sockaddr*>(&peer), sizeof peer) == 0 ||
      errno == EINPROGRESS) {
    std::string text;
    std::size_t sent = 0;
    char buf[65536];
    while (Clock::now() < until) {
      pollfd item{
          fd, static_cast<short>(sent < request.size() ? POLLOUT | POLLIN : POLLIN), 0};
      if (poll(&item, 1, Remaining(until)) <= 0) break;
      if ((item.revents & POLLOUT) != 0 && sent < request.size()) {
        const ssize_t n =
            send(fd, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
        if (n < 0 && errno != EAGAIN) break;
        if (n > 0) sent += static_cast<std::size_t>(n);
      }
      if ((item.revents & (POLLIN | POLLHUP | POLLERR)) == 0) continue;
      const ssize_t n = recv(fd, buf, sizeof buf, 0);
      if (n == 0 || (n < 0 && errno != EAGAIN)) break;
      if (n > 0) text.append(buf, static_cast<std::size_t>(n));
      const std::size_t head = text.find("\r\n\r\n");
      if (head == std::string::npos) continue;
      std::string lower = text.substr(0, head);
      std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
      const std::size_t at = lower.find("content-length:");
      if (at == std::string::npos) continue;
      const std::size_t length = std::stoul(lower.substr(at + 15));
      if (text.size() < head + 4 + length) continue;
      status = std::stoi(text.substr(9, 3));
      *body = text.substr(head + 4, length);
      break;
    }
  }
  close(fd);
  return status;
}

/// Sends `request` to one address after the other until `is_clear(status)`.
template <class IsClear>
int Resend(const std::vector<std::string>& addresses, std::size_t first,
           const std::string& request, IsClear is_clear, int* attempts,
           std::string* body) {
  const auto began = Clock::now();
  milliseconds backoff = kFirstBackoff;
  std::minstd_rand jitter(std::random_device{}());
  int status = 0;
  while (Clock::now() - began < kGiveUp) {
    status = Exchange(addresses[(first + *attempts) % addresses.size()], request, body);
    ++*attempts;
    if (is_clear(status)) return status;
    // Up to half more or less, so that operators do not stay in step.
    std::this_thread::sleep_for(backoff * (50 + static_cast<int>(jitter() % 100)) / 100);
    backoff = std::min(kMaxBackoff, backoff + backoff / 2);
  }
  return status;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 6) return 2;
  State base;
  std::ifstream(argv[1]) >> base.version >> base.services;
  const std::size_t routes = std::stoul(argv[3]);
  const std::size_t changes = std::stoul(argv[4]);
  const std::vector<std::string> addresses(argv + 5, argv + argc);
  std::ofstream record(argv[2], std::ios::app);
  std::mt19937 random(base.version * 7919 + 1);

  std::vector<State> states(changes, base);
  std::vector<std::string> orders(changes);
  std::vector<int> statuses(changes, 0);
  std::vector<int> attempts(changes, 0);
  for (std::size_t n = 0; n < changes; ++n) {
    states[n].version = base.version + 1 + static_cast<std::uint32_t>(n);
    for (char& service : states[n].services) service = random() % 2 == 0 ? '0' : '1';
    orders[n] = MakeOrder(states[n], base.version, routes);
  }
  std::vector<std::thread> threads;
  for (std::size_t n = 0; n < changes; ++n) {
    threads.emplace_back([&, n] {
      const std::string request =
          "POST /api/config/put HTTP/1.1\r\nHost: control\r\nContent-Type: "
          "application/json\r\n"
          "Content-Length: " +
          std::to_string(orders[n].size()) + "\r\nConnection: close\r\n\r\n" + orders[n];
      std::string body;
      statuses[n] = Resend(
          addresses, n, request,
          [](int s) {
            return s == 200 || s == 400 || s == 409 || s == 412 || s == 413 || s == 422;
          },
          &attempts[n], &body);
    });
  }
  for (std::thread& it : threads) it.join();
  const State* accepted = nullptr;
  std::string expected;
  for (std::size_t n = 0; n < changes; ++n) {
    record << "  sent version " << Hex(states[n].version) << " on " << Hex(base.version)
           << ", services of the moving routes " << states[n].services << ": "
           << statuses[n] << " after " << attempts[n] << " attempts\n";
    if (statuses[n] != 200) continue;
    accepted = &states[n];
    expected = orders[n];
  }
  if (accepted == nullptr) return 2;
  std::ofstream(argv[1]) << accepted->version << " " << accepted->services << "\n";
  int reads = 0;
  std::string read;
  const int status = Resend(
      addresses, 0,
      "GET /api/config/get HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\r\n",
      [](int s) { return s == 200; }, &reads, &read);
  if (status != 200) {
    record << "  read: no answer\n";
    return 2;
  }
  if (read == expected) {
    record << "  read: the acknowledged configuration\n";
    return 0;
  }
  const std::size_t at = static_cast<std::size_t>(
      std::mismatch(read.begin(), read.begin() + std::min(read.size(), expected.size()),
                    expected.begin())
          .first -
      read.begin());
  std::size_t differing = 0;
  for (std::size_t n = 0; n < std::min(read.size(), expected.size()); ++n)
    differing += read[n] != expected[n];
  const std::size_t from = at < 60 ? 0 : at - 60;
  record << "  read: ANOTHER CONFIGURATION, " << read.size() << " bytes of "
         << expected.size() << ", " << differing << " bytes differ, the first at " << at
         << "\n    sent: " << expected.substr(from, 120)
         << "\n    read: " << read.substr(from, 120) << "\n";
  return 1;
}
