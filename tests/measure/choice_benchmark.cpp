/// \file
/// Time of one choice of a target, by number of targets. Run by hand.
#include <random>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "coordination/load_balancing/load_balancer.h"

namespace {

using namespace peridot;

const data_center_name LocalDataCenter("lakes-a");

/// Targets of one service in three data centres.
std::vector<target> makeTargets(std::size_t Count) {
  const data_center_name DataCenters[] = {LocalDataCenter,
                                          data_center_name("lakes-b"),
                                          data_center_name("lakes-c")};
  std::vector<target> Targets;
  for (std::size_t Each = 0; Each < Count; ++Each)
    Targets.push_back({.Name = target_name("i-" + std::to_string(Each)),
                       .DataCenter = DataCenters[Each % 3]});
  return Targets;
}

/// Chooses targets for requests of which ten run at a time. The first argument
/// is the number of targets, the second that of hosts.
void chooseTarget(benchmark::State &State) {
  const std::vector<target> Targets =
      makeTargets(static_cast<std::size_t>(State.range(0)));
  std::vector<vm_name> Hosts;
  for (std::int64_t Each = 0; Each < State.range(1); ++Each)
    Hosts.emplace_back("vm-" + std::to_string(Each));
  load_balancer Balancer;
  const std::span<const target> Services[] = {Targets};
  Balancer.divide(
      Services,
      {.DataCenter = LocalDataCenter, .Self = Hosts.front(), .Hosts = Hosts});
  std::mt19937_64 Random(1);
  instant Now{std::chrono::seconds(100)};
  struct running_request {
    target_name Target;
    std::uint64_t Id = 0;
  };
  std::vector<running_request> Running(10);
  std::size_t Next = 0;
  for (auto Iteration : State) {
    Now += std::chrono::milliseconds(10);
    running_request &Oldest = Running[Next++ % Running.size()];
    if (Oldest.Id > 0)
      Balancer.end(Oldest.Target, Oldest.Id, attempt_end::Responded, 1, Now);
    const load_balancer_choice Choice = Balancer.choose(
        Targets, {.IsRepeatable = Next % 3 == 0},
        {.DataCenter = LocalDataCenter, .Now = Now, .Random = Random()});
    Oldest = {.Target = Choice.Target->Name,
              .Id = Balancer.begin(Choice.Target->Name, Now,
                                   std::chrono::milliseconds(160))};
  }
}

BENCHMARK(chooseTarget)
    ->ArgNames({"targets", "hosts"})
    ->ArgsProduct({{30, 115, 3'000}, {2, 10, 20}});

} // namespace

BENCHMARK_MAIN();
