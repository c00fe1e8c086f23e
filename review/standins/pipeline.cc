// Clients that send two GET requests on a kept connection before the first one is
// answered.
//
//   pipeline RECORD ADDRESS CLIENTS GO_FILE DELAY_MS PATH1 DEADLINE1_MS PATH2
//   DEADLINE2_MS
//
// Each client connects and sends one request; once GO_FILE exists and DELAY_MS have
// passed it sends the two in one write, and reads the answers in their order. RECORD gets
// a line for each client. Prints "FIRST SECOND COUNT" for each pair of statuses; 0 is a
// connection that ended without it.
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "http.h"

using review::milliseconds;

namespace {

std::string Get(const std::string& path, const std::string& deadline) {
  return "GET " + path +
         " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + review::RandomId() +
         "\r\nX-Deadline-Ms: " + deadline + "\r\n\r\n";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 10) return 2;
  std::ofstream record(argv[1], std::ios::app);
  const sockaddr_in peer = review::ToSockaddr(argv[2]);
  std::mutex mutex;
  std::map<std::pair<int, int>, int> results;
  std::vector<std::thread> threads;
  for (int n = 0; n < std::stoi(argv[3]); ++n) {
    threads.emplace_back([&] {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::string rest;
      review::Message answers[2];
      review::Message warm;
      const bool ready =
          connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) == 0 &&
          review::SendAll(fd, Get(argv[8], argv[9])) &&
          review::ReadMessage(fd, milliseconds(5000), &rest, &warm) &&
          warm.status() == 200;
      while (ready && !std::ifstream(argv[4]))
        std::this_thread::sleep_for(milliseconds(10));
      std::this_thread::sleep_for(milliseconds(std::stoi(argv[5])));
      const std::int64_t sent = review::NowMs();
      std::int64_t at[2] = {0, 0};
      if (ready && review::SendAll(fd, Get(argv[6], argv[7]) + Get(argv[8], argv[9]))) {
        for (int k = 0; k < 2; ++k) {
          const bool answered =
              review::ReadMessage(fd, milliseconds(8000), &rest, &answers[k]);
          at[k] = review::NowMs() - sent;
          if (!answered) break;
        }
      }
      close(fd);
      const std::lock_guard<std::mutex> lock(mutex);
      record << sent << " two requests sent on a kept connection; the first: "
             << answers[0].status() << " after " << at[0] << " ms"
             << (answers[0].fields["connection"] == "close" ? " with Connection: close"
                                                            : "")
             << "; the second: ";
      if (answers[1].status() != 0) {
        record << answers[1].status() << " after " << at[1] << " ms\n";
      } else {
        record << "the connection ended without an answer after " << at[1] << " ms\n";
      }
      ++results[{ready ? answers[0].status() : -1, answers[1].status()}];
    });
  }
  for (std::thread& it : threads) it.join();
  for (const auto& [pair, count] : results)
    std::cout << pair.first << " " << pair.second << " " << count << "\n";
}
