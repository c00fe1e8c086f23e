// Sends one call of the operator or the platform until the answer is 200.
//
//   send METHOD PATH FILE SECONDS ADDRESS...      FILE "-": no body
//
// Exits with 0 after a 200, 1 when SECONDS have passed.
#include <fstream>
#include <iterator>
#include <thread>

#include "http.h"

using review::milliseconds;

int main(int argc, char** argv) {
  if (argc < 6) return 2;
  std::string body;
  if (std::string(argv[3]) != "-") {
    std::ifstream file(argv[3], std::ios::binary);
    body.assign(std::istreambuf_iterator<char>(file), {});
    while (!body.empty() && body.back() == '\n') body.pop_back();
  }
  std::string request = review::Post(argv[2], body);
  if (std::string(argv[1]) == "GET") {
    request = std::string("GET ") + argv[2] +
              " HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\r\n";
  }
  const std::int64_t end = review::NowMs() + std::int64_t{1000} * std::stoi(argv[4]);
  for (int n = 0; review::NowMs() < end; ++n) {
    if (review::Request(argv[5 + n % (argc - 5)], request, milliseconds(1000)).status() ==
        200)
      return 0;
    std::this_thread::sleep_for(milliseconds(100));
  }
  return 1;
}
