#include "calls/local_stream.h"

#include <atomic>
#include <thread>

#include <gtest/gtest.h>

namespace quetzal {
namespace {

class EndCounter final : public StreamHandler {
 public:
  explicit EndCounter(std::atomic<int>* ends) : ends_(ends) {}
  void OnHeaders(StreamHeaders /*headers*/) override {}
  void OnData(std::string_view /*bytes*/) override {}
  void OnEnd() override { ++*ends_; }
  void OnReset(ResultCode /*code*/) override {}
  void OnWritable() override {}

 private:
  std::atomic<int>* ends_;
};

TEST(LocalStreamTest, SidesThatEndAtTheSameTimeAreBothNotified) {
  constexpr int kStreams = 50000;
  LocalStreams streams;
  std::atomic<int> ends{0};
  std::atomic<int> turn{0};
  std::atomic<int> done{0};
  std::shared_ptr<Stream> opener;
  std::shared_ptr<Stream> acceptor;
  std::thread other([&] {
    for (int n = 1; n <= kStreams; ++n) {
      while (turn < n) {
      }
      acceptor->SendData("", true);
      done = n;
    }
  });
  for (int n = 1; n <= kStreams; ++n) {
    opener = streams.Open(
        [&](const std::string&, const StreamHeaders&, std::shared_ptr<Stream> stream) {
          acceptor = std::move(stream);
          return std::make_shared<EndCounter>(&ends);
        },
        "/", {}, false, std::make_shared<EndCounter>(&ends));
    turn = n;
    opener->SendData("", true);
    while (done < n) {
    }
  }
  other.join();
  EXPECT_EQ(ends, 2 * kStreams);
}

}  // namespace
}  // namespace quetzal
