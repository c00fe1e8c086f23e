#ifndef QUETZAL_HTTP1_HTTP1_SERVER_FIXTURE_H_
#define QUETZAL_HTTP1_HTTP1_SERVER_FIXTURE_H_

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>

#include <gtest/gtest.h>

#include "http1/raw_peer.h"
#include "plugins/http1_beast/http1_transport.h"
#include "streams/recording_handler.h"

namespace quetzal {

/// An accepted request and its handler.
struct Accepted {
  std::string path;
  std::shared_ptr<Stream> stream;
  std::shared_ptr<RecordingHandler> handler = std::make_shared<RecordingHandler>();
};

inline Http1Options ServerTestOptions() {
  Http1Options options;
  options.head_timeout = std::chrono::milliseconds(50);
  return options;
}

class Http1ServerTest : public ::testing::Test {
 protected:
  Http1ServerTest() {
    endpoint_ = server_.Listen(
        {"127.0.0.1", 0},
        [this](const std::string& path, const StreamHeaders&,
               std::shared_ptr<Stream> stream) -> std::shared_ptr<StreamHandler> {
          ++requests_;
          if (path == "/unknown") return nullptr;
          Accepted accepted{path, std::move(stream)};
          auto handler = accepted.handler;
          const std::lock_guard<std::mutex> lock(mutex_);
          accepted_.push_back(std::move(accepted));
          changed_.notify_all();
          return handler;
        });
  }
  ~Http1ServerTest() override { workers_.Stop(); }

  Accepted WaitAccepted() {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [this] { return !accepted_.empty(); });
    Accepted accepted = std::move(accepted_.front());
    accepted_.pop_front();
    return accepted;
  }

  std::atomic<int> requests_{0};
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Accepted> accepted_;
  WorkerPool workers_{2};
  Http1Transport server_{&workers_, ServerTestOptions()};
  Endpoint endpoint_;
};

}  // namespace quetzal

#endif  // QUETZAL_HTTP1_HTTP1_SERVER_FIXTURE_H_
