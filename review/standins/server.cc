// A server of an application beside a node.
//
//   server ADDRESS CONTROL SERVICE ZONE SLOTS WORK_MS RECORD [LEAVE_FILE]
//
// Sends heartbeats to CONTROL and serves requests at ADDRESS. A request takes WORK_MS, or
// N ms where its path holds "work-N". RECORD gets a line for each run: "MS run PATH".
//
// Once LEAVE_FILE exists, the server stops its heartbeats and sends its leave. The file
// names a process that is killed as soon as the leave is acknowledged ("0": none). A
// heartbeat of before the leave arrives late: when CONTROL answers again after the kill,
// or after a second without one. The server goes on to serve until it is ended. RECORD
// gets "MS leave STATUS" and "MS late-heartbeat STATUS".
#include <signal.h>

#include <atomic>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <thread>

#include "http.h"

using review::milliseconds;

namespace {

using review::Message;
using review::NowMs;

constexpr milliseconds kHeartbeat{870};
constexpr milliseconds kIdle{10000};

struct Server {
  std::string address, control, service, zone, slots, id;
  milliseconds work{};
  std::int64_t born = 0;
  std::uint64_t sequence = 0;
  std::atomic<int> running{0};
  std::mutex mutex;
  std::ofstream record;

  void Record(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex);
    record << NowMs() << " " << text << std::endl;
  }

  std::string Heartbeat() {
    return "{\"service\":\"" + service + "\",\"addr\":\"" + address + "\",\"zone\":\"" +
           zone + "\",\"version\":\"v1\",\"slots\":" + slots +
           ",\"state\":\"ready\",\"coldLeftS\":0,\"seq\":" + std::to_string(++sequence) +
           ",\"born\":" + std::to_string(born) + "}";
  }

  int Tell(const std::string& action, const std::string& body) {
    return review::Request(control,
                           review::Post("/api/instances/" + id + "/" + action, body),
                           milliseconds(1000))
        .status();
  }

  void Serve(int fd) {
    std::string rest;
    Message request;
    while (review::ReadMessage(fd, kIdle, &rest, &request)) {
      const std::size_t from = request.first_line.find(' ') + 1;
      const std::string path =
          request.first_line.substr(from, request.first_line.rfind(' ') - from);
      std::string answer;
      const std::string attempt = request.fields["x-attempt-id"];
      if (path == "/healthz") {
        answer =
            "HTTP/1.1 200 OK\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
      } else if (request.fields.count("x-expect-instance") != 0 &&
                 request.fields["x-expect-instance"] != id) {
        answer =
            "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Attempt-Id: " +
            attempt + "\r\nContent-Length: 0\r\n\r\n";
      } else {
        Record("run " + path);
        const std::size_t own = path.find("work-");
        const milliseconds time = own == std::string::npos
                                      ? work
                                      : milliseconds(std::stoi(path.substr(own + 5)));
        const std::string deadline = request.fields["x-deadline-ms"];
        const bool late = !deadline.empty() && time > milliseconds(std::stoll(deadline));
        // A server stops work at the deadline that it receives, and says so.
        std::this_thread::sleep_for(late ? milliseconds(std::stoll(deadline)) : time);
        const std::string body = id + " " + path;
        answer = std::string("HTTP/1.1 ") + (late ? "504 Gateway Timeout" : "200 OK") +
                 "\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Seal: seal." + attempt +
                 "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
      }
      if (!review::SendAll(fd, answer)) break;
    }
    close(fd);
  }

  void Listen() {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in own = review::ToSockaddr(address);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0 ||
        listen(fd, 128) != 0)
      std::exit(2);
    std::thread([this, fd] {
      for (;;) {
        const int accepted = accept(fd, nullptr, nullptr);
        if (accepted < 0) continue;
        const int on = 1;
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, accepted] { Serve(accepted); }).detach();
      }
    }).detach();
  }

  void Leave(pid_t victim) {
    const std::string late = Heartbeat();
    const int status = Tell("leave", "{\"born\":" + std::to_string(born) + "}");
    if (victim != 0 && status == 200) kill(victim, SIGKILL);
    Record("leave " + std::to_string(status));
    std::this_thread::sleep_for(milliseconds(victim == 0 ? 1000 : 200));
    for (int n = 0; n < 500; ++n) {
      const int answer = Tell("heartbeat", late);
      if (answer != 0) return Record("late-heartbeat " + std::to_string(answer));
      std::this_thread::sleep_for(milliseconds(10));
    }
  }
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 8) return 2;
  Server server;
  server.address = argv[1];
  server.control = argv[2];
  server.service = argv[3];
  server.zone = argv[4];
  server.slots = argv[5];
  server.work = milliseconds(std::stoi(argv[6]));
  server.record.open(argv[7], std::ios::app);
  server.id = "i-" + review::RandomId().substr(0, 8);
  server.born = NowMs();
  server.Listen();
  std::int64_t next = 0;
  for (;;) {
    if (argc > 8) {
      pid_t victim = -1;
      std::ifstream(argv[8]) >> victim;
      if (victim >= 0) {
        server.Leave(victim);
        for (;;) pause();
      }
    }
    if (NowMs() >= next) {
      server.Tell("heartbeat", server.Heartbeat());
      next = NowMs() + kHeartbeat.count();
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
}
