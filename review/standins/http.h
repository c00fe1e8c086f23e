// Small blocking HTTP/1.1 for the stand-ins of the review.
#ifndef REVIEW_STANDINS_HTTP_H_
#define REVIEW_STANDINS_HTTP_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <map>
#include <random>
#include <string>

namespace review {

using std::chrono::milliseconds;

inline std::int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline sockaddr_in ToSockaddr(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
  return peer;
}

struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;  ///< Names in lower case.
  std::string body;

  int status() const {
    return first_line.size() < 12 ? 0 : std::stoi(first_line.substr(9, 3));
  }
};

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

/// Reads one message with a Content-Length, or without a body. `rest` keeps what follows
/// it.
inline bool ReadMessage(int fd, milliseconds timeout, std::string* rest,
                        Message* message) {
  const auto until = std::chrono::steady_clock::now() + timeout;
  const auto more = [&] {
    const auto left = std::chrono::duration_cast<milliseconds>(
        until - std::chrono::steady_clock::now());
    pollfd item{fd, POLLIN, 0};
    if (left.count() <= 0 || poll(&item, 1, static_cast<int>(left.count())) <= 0)
      return false;
    char buf[16384];
    const ssize_t n = recv(fd, buf, sizeof buf, 0);
    if (n > 0) rest->append(buf, static_cast<std::size_t>(n));
    return n > 0;
  };
  std::size_t end = 0;
  while ((end = rest->find("\r\n\r\n")) == std::string::npos) {
    if (!more()) return false;
  }
  *message = Message();
  std::size_t at = rest->find("\r\n");
  message->first_line = rest->substr(0, at);
  while (at < end) {
    const std::size_t next = rest->find("\r\n", at + 2);
    const std::string line = rest->substr(at + 2, next - at - 2);
    const std::size_t colon = line.find(':');
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    if (colon != std::string::npos)
      message->fields[name] = value == std::string::npos ? "" : line.substr(value);
    at = next;
  }
  const auto length = message->fields.find("content-length");
  const std::size_t size =
      length == message->fields.end() ? 0 : std::stoul(length->second);
  rest->erase(0, end + 4);
  while (rest->size() < size) {
    if (!more()) return false;
  }
  message->body = rest->substr(0, size);
  rest->erase(0, size);
  return true;
}

/// One request on a new connection; the status is 0 without a complete answer.
inline Message Request(const std::string& address, const std::string& request,
                       milliseconds timeout) {
  Message answer;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in peer = ToSockaddr(address);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  std::string rest;
  const bool answered =
      connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) == 0 &&
      SendAll(fd, request) && ReadMessage(fd, timeout, &rest, &answer);
  close(fd);
  return answered ? answer : Message();
}

inline std::string Post(const std::string& path, const std::string& body) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: control\r\nContent-Type: "
         "application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
}

inline std::string RandomId() {
  static thread_local std::mt19937_64 random(std::random_device{}());
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

}  // namespace review

#endif  // REVIEW_STANDINS_HTTP_H_
