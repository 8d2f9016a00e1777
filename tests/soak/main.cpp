/// \file
/// Runs a fleet on the platform's stand-in under random faults and checks the
/// system's promises against the records of callers and targets. Exits with 1
/// and prints the seed if a promise was broken.

#include <iostream>
#include <random>

#include <gflags/gflags.h>

#include "soak/fault_schedule.h"
#include "support/caller_load.h"
#include "support/run_checker.h"
#include "support/target_rules.h"

DEFINE_int32(first_seed, 0, "Seed of the first run; 0: a random seed");
DEFINE_int32(seeds, 1, "Number of runs, with consecutive seeds");
DEFINE_int32(seconds, 8, "Seconds of fault injection in each run");
DEFINE_int32(vms, 4, "Number of VMs, in two data centres");

namespace peridot::test {

namespace {

using std::chrono::steady_clock;

/// How long a revoked key may still be accepted after the platform stored its
/// revocation.
constexpr std::chrono::seconds KeyRevocationLimit{5};
/// Time after the last fault within which all VMs must serve again.
constexpr std::chrono::seconds RecoveryTimeout{15};
constexpr double QuotaWindowSeconds = 5;
/// Maximum number of requests that the nodes' flags (--rate_share=0.1 and
/// --rate_requests=20) admit in any window of QuotaWindowSeconds for a limit of
/// 60/s with burst 30.
constexpr double MaxRequestsInQuotaWindow =
    (60 * QuotaWindowSeconds + 30) * 1.1 + 20;

/// Whether a response with \p Status guarantees that no target ran the request.
bool guaranteesNotExecuted(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

class soak_run {
public:
  explicit soak_run(unsigned Seed) : Seed(Seed) {
    Fleet.writeConfiguration(1, {{"keepers", {"keeper-key"}, 60, 30},
                                 {"crews", {"crew-key"}, 60, 30}});
    // An entry of another writer ends a page of each list.
    Fleet.createEntry("servers", "a&b=%zz c", R"({"service":7})");
    Fleet.setPlatformLists("page_size=1&strict=1");
    for (const char *Name : {"hive-1", "hive-2", "hive-3"})
      Fleet.addTarget(Name, Fleet.Targets.empty() ? "lakes-b" : "lakes-a");
    for (int Index = 0; Index < FLAGS_vms; ++Index)
      Fleet.addNode("vm-" + std::to_string(Index),
                    Index % 2 == 0 ? "lakes-a" : "lakes-b");
    for (const auto &Node : Fleet.Nodes)
      Fleet.awaitReady(*Node);
  }

  /// \returns one line for each broken promise.
  std::vector<std::string> run() {
    caller_load Keepers(
        callerOptions("keepers", "keeper-key", "/logs/1", true));
    caller_load Crews(callerOptions("crews", "crew-key", "/dispatch/1", false));
    fault_schedule Faults(Fleet, Seed);
    Faults.run(std::chrono::seconds(FLAGS_seconds));
    awaitRecovery();
    run_records Records;
    for (const char *Account : {"keepers", "crews"})
      Records.Envelopes.push_back({.Account = Account,
                                   .Burst = MaxRequestsInQuotaWindow,
                                   .MaxWindowSeconds = QuotaWindowSeconds});
    for (caller_load *Load : {&Keepers, &Crews})
      for (response_record &Response : Load->stop())
        Records.Responses.push_back(std::move(Response));
    for (const auto &Target : Fleet.Targets) {
      for (execution_record &Each :
           parseExecutions(Target->Target.executions()))
        Records.Executions.push_back(std::move(Each));
      for (arrival_record &Each : parseArrivals(Target->Target.arrivals()))
        Records.Arrivals.push_back(std::move(Each));
    }
    Records.Interruptions = Faults.interruptions();
    check(Records, Faults.keyRevokedAt());
    return Violations;
  }

private:
  caller_options callerOptions(const std::string &Account,
                               const std::string &Key, const std::string &Path,
                               bool IsRepeatable) const {
    caller_options Options{.Account = Account,
                           .Key = "Bearer " + Key,
                           .KeyField = "Authorization",
                           .Path = Path,
                           .IsRepeatable = IsRepeatable};
    for (const auto &Node : Fleet.Nodes)
      Options.Ports.push_back(Node->Node.CallerPort);
    return Options;
  }

  void awaitRecovery() {
    const auto Deadline = steady_clock::now() + RecoveryTimeout;
    for (const auto &Node : Fleet.Nodes) {
      unsigned Status = 0;
      for (int Attempt = 0; Status != 200 && steady_clock::now() < Deadline;
           ++Attempt)
        Status = callWithKey(Node->Node.CallerPort, "/logs/2", "keeper-key",
                             Node->Node.Name + "-" + std::to_string(Attempt))
                     .Status;
      if (Status != 200)
        Violations.push_back(Node->Node.Name +
                             " does not serve after the faults, last status " +
                             std::to_string(Status));
    }
  }

  void check(run_records &Records, steady_clock::time_point KeyRevokedAt) {
    std::size_t Served = 0;
    for (response_record &Response : Records.Responses) {
      Served += Response.Status == 200 ? 1 : 0;
      if (guaranteesNotExecuted(Response.Status))
        Response.Outcome = "not-run";
      if (Response.Account == "crews" && Response.Status == 200 &&
          KeyRevokedAt != steady_clock::time_point::max() &&
          Response.SentAt > KeyRevokedAt + KeyRevocationLimit)
        Violations.push_back("revoked key was accepted: request " +
                             Response.RequestId);
    }
    for (const violation &Each : checkRun(Records))
      Violations.push_back("promise " +
                           std::to_string(static_cast<int>(Each.Kind)) + ": " +
                           Each.Detail);
    std::cout << "  " << Records.Responses.size() << " requests, " << Served
              << " served, " << Records.Executions.size() << " runs, "
              << countLeavingResponses(Records) << " words of leaving, "
              << countPauses(Records) << " pauses" << std::endl;
  }

  unsigned Seed;
  store_fleet Fleet;
  std::vector<std::string> Violations;
};

} // namespace

} // namespace peridot::test

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  const unsigned First = FLAGS_first_seed != 0
                             ? static_cast<unsigned>(FLAGS_first_seed)
                             : std::random_device{}() % 1'000'000 + 1;
  int Failed = 0;
  for (unsigned Seed = First; Seed < First + static_cast<unsigned>(FLAGS_seeds);
       ++Seed) {
    std::cout << "seed " << Seed << std::endl;
    const auto Violations = peridot::test::soak_run(Seed).run();
    for (const std::string &Each : Violations)
      std::cout << "seed " << Seed << " BROKEN " << Each << std::endl;
    Failed += Violations.empty() ? 0 : 1;
  }
  std::cout << FLAGS_seeds - Failed << " passed, " << Failed << " failed"
            << std::endl;
  return Failed == 0 ? 0 : 1;
}
