#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "control/control_fakes.h"

namespace quetzal {
namespace {

/// A request in docs/admin-api.md, and the status and lines that its answer must contain.
struct Example {
  AdminRequest request;
  int status = 0;
  std::vector<std::string> lines;
};

AdminRequest ParseRequest(const std::string& line) {
  AdminRequest request;
  std::istringstream tokens(line);
  std::string target;
  tokens >> request.method >> target;
  const std::size_t query_start = target.find('?');
  request.path = target.substr(0, query_start);
  if (query_start != std::string::npos) {
    const std::size_t equals = target.find('=', query_start);
    request.query[target.substr(query_start + 1, equals - query_start - 1)] =
        target.substr(equals + 1);
  }
  return request;
}

std::vector<Example> ReadExamples() {
  std::ifstream in(std::string(QUETZAL_SOURCE_DIR) + "/docs/admin-api.md");
  std::vector<Example> examples;
  std::string block;
  bool first = false;
  for (std::string line; std::getline(in, line);) {
    if (line.rfind("```", 0) == 0) {
      block = line.substr(3);
      first = true;
      continue;
    }
    if (block == "request") {
      if (first) {
        examples.push_back({ParseRequest(line), 0, {}});
      } else {
        examples.back().request.body += line + "\n";
      }
    } else if (block == "answer") {
      if (first) {
        examples.back().status = std::stoi(line);
      } else {
        examples.back().lines.push_back(line);
      }
    }
    first = false;
  }
  return examples;
}

// Guards against docs/admin-api.md going stale: sends each documented request in order
// and compares status and lines of the answer.
TEST(AdminApiExamplesTest, TheDocumentedExamplesRunAsWritten) {
  ManualClock clock;
  ManualExecutor executor(&clock);
  FakeLog log;
  std::map<Endpoint, FakeRpc*> network;
  ControlFixture control("control-1", {"127.0.0.1", 1}, &log, &network, {}, &clock,
                         &executor);
  control.agreement.view.leading = true;
  executor.Advance(std::chrono::seconds(10));
  for (const char* name : {"node-1", "node-2", "node-3"}) {
    control.service->OnAck(MakeAck(name, "haro", "taller", {}));
  }
  const std::vector<Example> examples = ReadExamples();
  EXPECT_GE(examples.size(), 10U);
  for (const Example& example : examples) {
    SCOPED_TRACE(example.request.method + " " + example.request.path);
    AdminResponse answer;
    control.api->Handle(example.request,
                        [&](const AdminResponse& response) { answer = response; });
    executor.Run();
    EXPECT_EQ(answer.status, example.status) << answer.body;
    for (const std::string& line : example.lines) {
      EXPECT_NE(answer.body.find(line), std::string::npos) << line << "\n" << answer.body;
    }
  }
}

}  // namespace
}  // namespace quetzal
