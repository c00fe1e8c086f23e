// The processes of the core are killed at the same moment, and one node with them, after
// that node has acknowledged that its server leaves. A heartbeat that the server sent
// before it left arrives late.
#include "harness.h"

#include <csignal>

namespace {

using namespace review;

constexpr char kConfiguration[] =
    R"({"version":"00000001","baseVersion":"00000000","routes":[{"name":"r-desk",)"
    R"("host":"desk.example","pathPrefix":"/desk/","kind":"safe","timeoutS":3,)"
    R"("sloS":1,"priority":1,"service":"desk","attempts":2}],"services":[)"
    R"({"name":"desk","healthPath":"/healthz","maxConns":130,"protocol":"h1",)"
    R"("tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
    R"("headerTimeoutS":3,"idleTimeoutS":15}})";

constexpr double kHeartbeatS = 1.5;
constexpr double kDrainS = 2;
constexpr double kStabilityS = 3;
constexpr double kKillAfterS = 1;   ///< After the acknowledgement.
constexpr double kCoreDownS = 0.5;  ///< "back within a second"
constexpr double kNodeDownS = 0.6;
constexpr double kLateS = 3;     ///< Delay of the heartbeat.
constexpr double kServesS = 12;  ///< The server goes on for so long after the ack.

int Run() {
  Deployment deployment({"desk", "desk", "desk"}, {});
  auto& nodes = deployment.nodes;
  std::mutex mutex;
  std::vector<double> reached;
  Server::Events events;
  events.finish = [](const ServerRequest&) { return 0.02; };
  Server::Events leaving_events = events;
  leaving_events.begin = [&](const ServerRequest& request) {
    Log("leaving server: runs %s", request.id.c_str());
    const std::lock_guard<std::mutex> lock(mutex);
    reached.push_back(Now());
  };
  // It never reports `draining`, but sends its leave first (PROTOCOL.md).
  const Server leaving("i-leaving", "desk", nodes[0].zone, deployment.App(nodes[0]),
                       deployment.Control(nodes[0]), 18, leaving_events, false);
  const Server staying("i-staying", "desk", nodes[1].zone, deployment.App(nodes[1]),
                       deployment.Control(nodes[1]), 18, events);
  deployment.StartAll(kConfiguration);
  int seq = 1;
  for (; seq < 5; ++seq) {
    Log("leaving server: heartbeat %d is answered with %d", seq,
        leaving.Report("heartbeat", leaving.Heartbeat(seq)));
    SleepFor(kHeartbeatS);
  }
  const std::string delayed = leaving.Heartbeat(seq);
  Log("leaving server: heartbeat %d is sent and delayed", seq);
  const int status = leaving.Report("leave", "");
  const double acknowledged = Now();
  Log("leaving server: its leave is answered with %d", status);
  if (status != 200) throw CannotRun{"the leave was not acknowledged"};

  std::atomic<bool> stop{false};
  std::atomic<int> served{0};
  std::vector<std::thread> clients;
  for (int n = 0; n < 8; ++n) {
    clients.emplace_back([&] {
      while (!stop) {
        const Answer answer = Request(
            deployment.Outbound(nodes[2]),
            "GET /desk/x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + NewId() +
                "\r\nX-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n",
            2);
        if (answer.status == 200) ++served;
        SleepFor(0.1);
      }
    });
  }
  double up = acknowledged;
  if (Trouble()) {
    SleepUntil(acknowledged + kKillAfterS);
    std::vector<Machine*> killed{&nodes[0]};
    for (Machine& core : deployment.controls) killed.push_back(&core);
    for (const Machine* machine : killed) deployment.Signal(*machine, SIGKILL);
    for (Machine* machine : killed) deployment.AwaitEnd(machine, 1);
    const double down = Now();
    Log("the core's processes and that of %s are killed", nodes[0].name.c_str());
    SleepUntil(down + kCoreDownS);
    for (Machine& core : deployment.controls) deployment.Start(&core);
    SleepUntil(down + kNodeDownS);
    deployment.Start(&nodes[0]);
    up = Now();
    Log("all of them run again");
  }
  SleepUntil(acknowledged + kLateS);
  Log("leaving server: heartbeat %d arrives and is answered with %d", seq,
      leaving.Report("heartbeat", delayed));
  SleepUntil(acknowledged + kServesS);
  stop = true;
  for (std::thread& client : clients) client.join();

  // DRAIN: counted once all machines are in touch again.
  const double from = std::max(acknowledged + kDrainS, up + kStabilityS);
  const std::lock_guard<std::mutex> lock(mutex);
  int broken = 0;
  for (const double at : reached) broken += at > from ? 1 : 0;
  Log("%d requests served, %zu reached the leaving server after its leave, %d of them "
      "later "
      "than drainS and with all machines in touch",
      served.load(), reached.size(), broken);
  return broken > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char* argv[]) { return argc < 2 ? kNotRun : Main(argv[1], Run); }
