// Measures the cost of one change of a large configuration on a node: checking the
// configuration, making and applying the delta, computing the digest and building the
// route matcher. The argument is the number of routes.
#include <benchmark/benchmark.h>

#include <memory>
#include <string>

#include "calls/route_matcher.h"
#include "configuration/configuration_check.h"
#include "configuration/configuration_delta.h"
#include "distribution/configuration_history.h"

namespace quetzal {
namespace {

std::string PaddedNumber(std::int64_t n) {
  const std::string digits = std::to_string(n);
  return std::string(6 - digits.size(), '0') + digits;
}

std::shared_ptr<Configuration> MakeConfiguration(std::int64_t routes) {
  auto configuration = std::make_shared<Configuration>();
  for (const char* name : {"bodega-desk", "taller"}) {
    configuration->add_services()->set_name(name);
  }
  for (std::int64_t n = 0; n < routes; ++n) {
    Route* route = configuration->add_routes();
    route->set_name("r-" + PaddedNumber(n));
    route->set_host("host" + std::to_string(n % 4) + ".example");
    route->set_path_prefix("/p" + PaddedNumber(n) + "/");
    route->set_timeout_ms(1500);
    route->set_objective_ms(600);
    route->set_attempts(2);
    route->set_keyless(true);
    route->add_targets()->set_service(n % 2 == 0 ? "bodega-desk" : "taller");
    route->mutable_targets(0)->set_weight(1);
  }
  return configuration;
}

void CheckWhole(benchmark::State& state) {
  const auto configuration = MakeConfiguration(state.range(0));
  for (auto _ : state) CheckConfiguration(*configuration);
}
BENCHMARK(CheckWhole)->Arg(100)->Arg(2800)->Unit(benchmark::kMicrosecond);

void MakeDeltaOfOneRoute(benchmark::State& state) {
  const auto from = MakeConfiguration(state.range(0));
  const auto to = MakeConfiguration(state.range(0));
  to->mutable_routes(0)->set_timeout_ms(2000);
  for (auto _ : state) benchmark::DoNotOptimize(MakeDelta(*from, *to));
}
BENCHMARK(MakeDeltaOfOneRoute)->Arg(100)->Arg(2800)->Unit(benchmark::kMicrosecond);

void ApplyDeltaOfOneRoute(benchmark::State& state) {
  const auto from = MakeConfiguration(state.range(0));
  const auto to = MakeConfiguration(state.range(0));
  to->mutable_routes(0)->set_timeout_ms(2000);
  const ConfigurationDelta delta = MakeDelta(*from, *to);
  for (auto _ : state) benchmark::DoNotOptimize(ApplyDelta(*from, delta));
}
BENCHMARK(ApplyDeltaOfOneRoute)->Arg(100)->Arg(2800)->Unit(benchmark::kMicrosecond);

void ComputeDigest(benchmark::State& state) {
  const auto configuration = MakeConfiguration(state.range(0));
  for (auto _ : state) benchmark::DoNotOptimize(DigestOf(*configuration));
}
BENCHMARK(ComputeDigest)->Arg(100)->Arg(2800)->Unit(benchmark::kMicrosecond);

void BuildRouteMatcher(benchmark::State& state) {
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->configuration = MakeConfiguration(state.range(0));
  for (auto _ : state) benchmark::DoNotOptimize(RouteMatcher(snapshot));
}
BENCHMARK(BuildRouteMatcher)->Arg(100)->Arg(2800)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace quetzal

BENCHMARK_MAIN();
