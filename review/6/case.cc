// A core machine is replaced: the new one comes first, then the old one is removed
// without SIGTERM. A second later another one loses its disk.
#include "harness.h"

#include <algorithm>

namespace {

using namespace review;

constexpr double kRecoveryS = 4;
constexpr double kRecoverS = 15;
constexpr double kBetweenS = 1;  ///< Between the removal and the loss of the disk.
constexpr double kDownS = 0.7;
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

/// Reads the configuration at each machine that runs; returns the newest version.
std::string ReadAll(const Deployment& deployment) {
  std::string newest;
  for (const Machine& core : deployment.controls) {
    if (core.pid == 0) continue;
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
  Deployment deployment({"desk", "desk", "desk"}, {}, 4);
  auto& cores = deployment.controls;
  deployment.StartAll(Configuration(1), 1);
  deployment.Start(&cores[3]);
  Log("%s is new, with an empty disk", cores[3].name.c_str());
  SleepFor(2 * kRecoveryS);
  const int status = deployment.Put(Configuration(2));
  Log("operator: version 2 is answered with %d", status);
  if (status != 200) throw CannotRun{"version 2 was refused"};
  SleepFor(1);
  ReadAll(deployment);
  deployment.Kill(&cores[0], true);
  Log("%s is removed for good; its successor has run for more than recoveryS",
      cores[0].name.c_str());
  if (Trouble()) {
    SleepFor(kBetweenS);
    deployment.Kill(&cores[1], true);
    Log("%s loses power and its disk", cores[1].name.c_str());
    SleepFor(kDownS);
    deployment.Start(&cores[1]);
    Log("%s is back", cores[1].name.c_str());
  }
  SleepFor(kRecoverS);
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
