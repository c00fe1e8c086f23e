// Two machines of the core are down for a while; meanwhile two others lose their disks.
// CORES states the number of core machines; with 5 of them the rule is kept.
#include "harness.h"

#include <algorithm>
#include <cstdlib>

namespace {

using namespace review;

constexpr double kRecoverS = 15;
/// Of the first two machines, before the loss of the others; DOWN_S states another one.
constexpr double kDownS = 8;
constexpr char kSecondVersion[] = "00000002";

std::string Configuration(int version) {
  char numbers[64];
  std::snprintf(numbers, sizeof numbers, R"("version":"%08x","baseVersion":"%08x")",
                version, version - 1);
  return std::string("{") + numbers +
         R"(,"routes":[{"name":"r-desk","host":"desk.example","pathPrefix":"/desk)" +
         std::to_string(version) +
         R"(/","kind":"safe","timeoutS":3,"sloS":1,"priority":1,"service":"desk",)"
         R"("attempts":2}],"services":[{"name":"desk","healthPath":"/healthz",)"
         R"("maxConns":130,"protocol":"h1","tls":false}],"limits":)"
         R"({"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,)"
         R"("idleTimeoutS":15}})";
}

/// Reads the configuration at each machine; returns the newest version that was read.
std::string ReadAll(const Deployment& deployment) {
  std::string newest;
  for (const Machine& core : deployment.controls) {
    const Answer answer = Call(deployment.Control(core), "GET", "/api/config/get", "", 2);
    const auto at = answer.body.find("\"version\":\"");
    std::string version;
    if (answer.status == 200 && at != std::string::npos) {
      version = answer.body.substr(at + 11, 8);
    }
    Log("operator: %s answers a read with %d %s", core.name.c_str(), answer.status,
        version.c_str());
    newest = std::max(newest, version);
  }
  return newest;
}

int Run() {
  const char* count = std::getenv("CORES");
  const char* down = std::getenv("DOWN_S");
  const double down_s = down == nullptr ? kDownS : std::atof(down);
  Deployment deployment({"desk"}, {}, count == nullptr ? 6 : std::atoi(count));
  auto& cores = deployment.controls;
  deployment.StartAll(Configuration(1));
  SleepFor(8);
  ReadAll(deployment);
  if (Trouble()) {
    for (const int n : {3, 4}) {
      Log("%s loses power", cores[n].name.c_str());
      deployment.Kill(&cores[n]);
    }
    SleepFor(down_s);
  }
  const int status = deployment.Put(Configuration(2));
  Log("operator: version 2 is answered with %d", status);
  if (status != 200) throw CannotRun{"version 2 was refused"};
  if (Trouble()) {
    for (const int n : {0, 1}) {
      Log("%s loses power and its disk", cores[n].name.c_str());
      deployment.Kill(&cores[n], true);
    }
    SleepFor(1);
    for (const int n : {0, 1, 3, 4}) {
      deployment.Start(&cores[n]);
      Log("%s is back", cores[n].name.c_str());
    }
    SleepFor(kRecoverS);
  }
  Log("all machines have been back for recoverS");
  std::string newest;
  for (int n = 0; n < 10 && newest != kSecondVersion; ++n) {
    SleepFor(1);
    newest = ReadAll(deployment);
  }
  return newest == kSecondVersion ? kHeld : kBroken;
}

}  // namespace

int main(int argc, char* argv[]) { return argc < 2 ? kNotRun : Main(argv[1], Run); }
