// Clients that send GET requests to the nodes of their machines.
//
//   client RECORD CLIENTS SECONDS PAUSE_MS DEADLINE_MS PATH ADDRESS...
//
// CLIENTS clients share the ADDRESSes. Each sends one request after the other on a
// connection of its own, for SECONDS (0: one request each). '#' in PATH becomes a number
// of its own in each request. RECORD gets a line for each answer: "MS PATH STATUS
// ADDRESS"; status 0 is none.
#include <atomic>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

#include "http.h"

using review::milliseconds;

int main(int argc, char** argv) {
  if (argc < 8) return 2;
  std::ofstream record(argv[1], std::ios::app);
  const int clients = std::stoi(argv[2]);
  const int seconds = std::stoi(argv[3]);
  const milliseconds pause_time(std::stoi(argv[4]));
  const int deadline = std::stoi(argv[5]);
  const std::string pattern = argv[6];
  const std::vector<std::string> addresses(argv + 7, argv + argc);
  const std::int64_t end = review::NowMs() + std::int64_t{1000} * seconds;
  std::atomic<unsigned> number{0};
  std::mutex mutex;
  std::map<int, int> statuses;
  std::vector<std::thread> threads;
  for (int n = 0; n < clients; ++n) {
    threads.emplace_back([&, n] {
      const std::string& address =
          addresses[static_cast<std::size_t>(n) % addresses.size()];
      do {
        std::string path = pattern;
        const std::size_t mark = path.find('#');
        if (mark != std::string::npos)
          path.replace(mark, 1,
                       review::RandomId().substr(0, 6) + std::to_string(++number));
        const std::string request =
            "GET " + path +
            " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + review::RandomId() +
            "\r\nX-Deadline-Ms: " + std::to_string(deadline) +
            "\r\nConnection: close\r\n\r\n";
        const int status =
            review::Request(address, request, milliseconds(deadline)).status();
        {
          const std::lock_guard<std::mutex> lock(mutex);
          record << review::NowMs() << " " << path << " " << status << " " << address
                 << "\n";
          ++statuses[status];
        }
        if (seconds > 0) std::this_thread::sleep_for(pause_time);
      } while (review::NowMs() < end);
    });
  }
  for (std::thread& it : threads) it.join();
  for (const auto& [status, count] : statuses) std::cout << status << ":" << count << " ";
  std::cout << "\n";
}
