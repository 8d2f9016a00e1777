/// \file
/// The store returns from a copy that is some seconds old. Later a target
/// leaves: its entry is removed.

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <random>
#include <thread>

#include "../rig_2/rig.h"

using namespace peridot::review;

namespace {

constexpr std::int64_t DrainMs = 2'000;
constexpr std::int64_t SettleMs = 3'000;
/// Age of the copy from which the store returns.
constexpr std::int64_t CopyAgeMs = 8'000;
/// How long the store is away.
constexpr std::int64_t AwayMs = 500;
/// How long the target goes on serving after its entry was removed.
constexpr std::int64_t ServesOnMs = 12'000;
constexpr int Callers = 30;
constexpr std::int64_t CallPeriodMs = 200;
const std::string Zone = "lakes-a";
const std::string Service = "wuno96b";
const std::string Key = "nn2ctnfzs989anu6wsjn";

struct sent_request {
  std::int64_t AtMs = 0;
  std::string Address;
};

std::mutex SentMutex;
std::map<std::string, sent_request> Sent;
std::atomic<bool> IsStopping{false};
std::atomic<int> LastId{0};

/// One caller: asks a VM for addresses each second, and sends each request to
/// one of them at random.
void runCaller(const std::vector<vm *> &Vms, unsigned Seed) {
  std::mt19937 Random(Seed);
  std::vector<std::string> Addresses;
  std::int64_t ResolvedAt = -1'000;
  std::int64_t Next = nowMs() + Seed % CallPeriodMs;
  while (!IsStopping) {
    sleepUntilMs(Next);
    Next += CallPeriodMs;
    if (nowMs() - ResolvedAt >= 1'000) {
      auto Found = Vms[Random() % Vms.size()]->resolve(Zone);
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
      Sent[Id] = {.AtMs = nowMs(), .Address = Chosen};
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
  for (int Number = 1; Number <= 4; ++Number)
    Targets.push_back(std::make_unique<target_server>(
        Store, "i-" + std::to_string(Number), Service, Zone, 16));
  const json::value Configuration{
      {"version", 7},
      {"resources",
       {routeTo("puka111", Service, "non_idempotent", "2500ms"),
        serviceOf(Service), accountOf("cuka620", Key, 1'000, 1'000),
        limitsOf()}}};
  Store.put("config", "main", Configuration);
  std::vector<std::string> Ips;
  for (int Number = 1; Number <= 4; ++Number)
    Ips.push_back("127.0.1." + std::to_string(Number));
  const int Base = freePorts(Ips, 5);
  const vm_ports Ports{.Caller = Base,
                       .Readiness = Base + 1,
                       .Directory = Base + 2,
                       .Peer = Base + 3,
                       .Operator = Base + 4};
  std::vector<std::unique_ptr<vm>> Vms;
  std::vector<vm *> All;
  for (const std::string &Ip : Ips) {
    Vms.push_back(std::make_unique<vm>(
        "front-" + Zone + "-" + std::to_string(Vms.size() + 1), Zone, Ip, Ports,
        Store.port(), std::vector<std::string>{}));
    All.push_back(Vms.back().get());
  }
  for (vm *Each : All)
    Each->start();
  const std::int64_t StartLimit = nowMs() + 15'000;
  while (!std::ranges::all_of(All, [](vm *Each) { return Each->isReady(); })) {
    if (nowMs() > StartLimit)
      finish(ExitCannotRun);
    sleepMs(100);
  }
  std::vector<std::thread> Running;
  for (int Number = 0; Number < Callers; ++Number)
    Running.emplace_back(runCaller, All, static_cast<unsigned>(Number * 7));
  sleepMs(8'000);
  Store.copy();
  record("copy at revision " + std::to_string(Store.revision()));
  sleepMs(CopyAgeMs);
  std::uint64_t CallsAtReturn = Store.callCount();
  if (hasTrouble()) {
    record("the store is away at revision " + std::to_string(Store.revision()));
    Store.setDown(true);
    sleepMs(AwayMs);
    Store.restore();
    Store.setDown(false);
    record("the store is back at revision " + std::to_string(Store.revision()));
    // What the operator and the targets wrote is written again.
    CallsAtReturn = Store.callCount();
    Store.put("config", "main", Configuration);
    for (const auto &Each : Targets)
      Each->heartbeat();
  }
  sleepMs(SettleMs + 200);
  target_server &Leaving = *Targets.front();
  Leaving.setSilent(true);
  sleepMs(100);
  record("calls to the store since then: " +
         std::to_string(Store.callCount() - CallsAtReturn));
  Store.remove("servers", Leaving.name());
  const std::int64_t RemovedAt = nowMs();
  record("the store removed " + Leaving.name() + " at revision " +
         std::to_string(Store.revision()));
  sleepMs(ServesOnMs);
  IsStopping = true;
  for (std::thread &Each : Running)
    Each.join();
  std::size_t Late = 0;
  std::int64_t LastLateMs = 0;
  std::map<std::string, int> LateByVm;
  for (const auto &Target : Targets)
    for (const auto &Each : Target->arrivals()) {
      const sent_request &Request = Sent[Each.Id];
      record("run " + Each.Id + " at " + std::to_string(Each.AtMs) + " by " +
             Target->name() + " through " + Request.Address);
      if (Target.get() != &Leaving || Request.AtMs <= RemovedAt + DrainMs)
        continue;
      ++Late;
      ++LateByVm[Request.Address];
      LastLateMs = std::max(LastLateMs, Each.AtMs - RemovedAt);
    }
  std::string Result = "requests at the removed target that were sent more "
                       "than 2 s after its removal: " +
                       std::to_string(Late) + ", the last one " +
                       std::to_string(LastLateMs) + " ms after it;";
  for (const auto &[Address, Count] : LateByVm)
    Result += " " + Address + ": " + std::to_string(Count);
  record(Result);
  std::puts(Result.c_str());
  finish(Late > 0 ? ExitBroken : ExitHeld);
}
