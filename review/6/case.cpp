/// \file
/// One VM is cut off from the other VMs for 12 s, while callers, targets and
/// the platform's store reach all of them.

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <random>
#include <thread>

#include "../rig_2/rig.h"

using namespace peridot::review;

namespace {

constexpr double RatePerSecond = 100;
constexpr double Burst = 100;
constexpr double Overage = 0.1;
constexpr double Slack = 20;
constexpr std::int64_t WindowMs = 5'000;
/// Length of the cut: the longest node_cut of the site file.
constexpr std::int64_t CutMs = 12'000;
constexpr int CallersPerZone = 20;
constexpr std::int64_t CallPeriodMs = 200;
const std::string Account = "cuka620";
const std::string Key = "nn2ctnfzs989anu6wsjn";

std::mutex SentMutex;
std::map<std::string, std::int64_t> SentAt;
std::atomic<bool> IsStopping{false};
std::atomic<int> LastId{0};

/// One caller: asks a VM of its zone for addresses each second, and sends each
/// request to one of them at random.
void runCaller(const std::vector<vm *> &Local, unsigned Seed) {
  std::mt19937 Random(Seed);
  std::vector<std::string> Addresses;
  std::int64_t ResolvedAt = -1'000;
  std::int64_t Next = nowMs() + Seed % CallPeriodMs;
  while (!IsStopping) {
    sleepUntilMs(Next);
    Next += CallPeriodMs;
    if (nowMs() - ResolvedAt >= 1'000) {
      auto Found =
          Local[Random() % Local.size()]->resolve(Local[0]->dataCenter());
      if (!Found.empty())
        Addresses = std::move(Found);
      ResolvedAt = nowMs();
    }
    if (Addresses.empty())
      continue;
    const std::string Chosen = Addresses[Random() % Addresses.size()];
    const std::size_t Colon = Chosen.find(':');
    const std::string Id = "r" + std::to_string(++LastId);
    {
      const std::lock_guard Lock(SentMutex);
      SentAt[Id] = nowMs();
    }
    record("sent " + Id + " to " + Chosen);
    const unsigned Status =
        callOnce(Chosen.substr(0, Colon), std::atoi(Chosen.c_str() + Colon + 1),
                 {.Path = "/puka111/" + Id, .Key = Key, .Id = Id, .Body = ""});
    record("answer " + Id + " from " + Chosen + " " + std::to_string(Status));
  }
}

} // namespace

int main(int Argc, char **Argv) {
  openRecord(Argc > 1 ? Argv[1] : ".");
  object_store Store;
  std::vector<std::unique_ptr<target_server>> Targets;
  const std::vector<std::string> Zones{"lakes-a", "lakes-b", "lakes-c"};
  for (const std::string &Zone : Zones)
    for (int Number = 1; Number <= 2; ++Number)
      Targets.push_back(std::make_unique<target_server>(
          Store, "i-" + Zone + std::to_string(Number), "wuno96b", Zone, 16));
  Store.put("config", "main",
            {{"version", 7},
             {"resources",
              {routeTo("puka111", "wuno96b", "non_idempotent", "2500ms"),
               serviceOf("wuno96b"),
               accountOf(Account, Key, RatePerSecond, Burst), limitsOf()}}});
  std::vector<std::string> Ips;
  for (int Number = 1; Number <= 6; ++Number)
    Ips.push_back("127.0.1." + std::to_string(Number));
  const int Base = freePorts(Ips, 6);
  const vm_ports Ports{.Caller = Base,
                       .Readiness = Base + 1,
                       .Directory = Base + 2,
                       .Peer = Base + 3,
                       .Operator = Base + 4,
                       .PeerProxy = Base + 5};
  Store.showPeerPort(Ports.Peer, Ports.PeerProxy);
  std::vector<std::unique_ptr<vm>> Vms;
  std::vector<vm *> All;
  for (std::size_t Index = 0; Index < Ips.size(); ++Index) {
    const std::string &Zone = Zones[Index / 2];
    Vms.push_back(std::make_unique<vm>(
        "front-" + Zone + "-" + std::to_string(Index % 2 + 1), Zone, Ips[Index],
        Ports, Store.port(), std::vector<std::string>{}));
    All.push_back(Vms.back().get());
  }
  peer_links Links(All);
  for (vm *Each : All)
    Each->start();
  const std::int64_t StartLimit = nowMs() + 15'000;
  while (!std::ranges::all_of(All, [](vm *Each) { return Each->isReady(); })) {
    if (nowMs() > StartLimit)
      finish(ExitCannotRun);
    sleepMs(100);
  }
  std::vector<std::thread> Callers;
  for (std::size_t Zone = 0; Zone < Zones.size(); ++Zone)
    for (int Number = 0; Number < CallersPerZone; ++Number)
      Callers.emplace_back(runCaller,
                           std::vector<vm *>{All[2 * Zone], All[2 * Zone + 1]},
                           static_cast<unsigned>(Zone * 1'000 + Number * 7));
  sleepMs(12'000);
  const std::int64_t CutAt = nowMs();
  for (const vm *Each : {All[0], All[2]})
    if (hasTrouble()) {
      record("cut " + Each->name() + " off from the other VMs");
      Links.cut(Each->name());
    }
  sleepMs(CutMs);
  for (const vm *Each : {All[0], All[2]})
    Links.heal(Each->name());
  record("the cut has ended");
  sleepMs(8'000);
  IsStopping = true;
  for (std::thread &Each : Callers)
    Each.join();

  struct run {
    std::int64_t SentAtMs, AtMs;
  };
  std::vector<run> Runs;
  for (const auto &Target : Targets)
    for (const auto &Each : Target->arrivals()) {
      record("run " + Each.Id + " at " + std::to_string(Each.AtMs) + " by " +
             Target->name() + " for " + Each.Account);
      if (Each.Account == Account)
        Runs.push_back({SentAt[Each.Id], Each.AtMs});
    }
  std::ranges::sort(Runs, {}, &run::AtMs);
  const double Allowed =
      (RatePerSecond * WindowMs / 1'000 + Burst) * (1 + Overage) + Slack;
  std::size_t Most = 0;
  std::int64_t MostAt = 0;
  for (const run &First : Runs) {
    const auto Count = static_cast<std::size_t>(
        std::ranges::count_if(Runs, [&](const run &Each) {
          return Each.SentAtMs >= First.SentAtMs &&
                 Each.AtMs <= First.SentAtMs + WindowMs;
        }));
    if (Count > Most) {
      Most = Count;
      MostAt = First.SentAtMs;
    }
  }
  const std::string Result = "most runs in 5 s: " + std::to_string(Most) +
                             " from " + std::to_string(MostAt) +
                             " ms (cut at " + std::to_string(CutAt) +
                             "); allowed " + std::to_string(Allowed);
  record(Result);
  std::puts(Result.c_str());
  finish(static_cast<double>(Most) > Allowed ? ExitBroken : ExitHeld);
}
