/// \file
/// Measures with real processes how long the last VM accepts a revoked key when
/// the platform becomes unreachable as soon as one VM has the revocation. Also
/// measures the idle cost of distribution: platform calls and peer bytes per
/// second.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <thread>

#include <gflags/gflags.h>

#include "state/base/hashing.h"
#include "support/fleet_fixture.h"

DEFINE_int32(vms, 12, "Number of nodes, in three data centres");
DEFINE_int32(rounds, 5, "Number of keys to revoke, one after the other");
DEFINE_int32(rest_seconds, 10,
             "Seconds for which idle calls and bytes are counted");

namespace peridot::test {

namespace {

using clock = std::chrono::steady_clock;

class configuration_trial : fleet_fixture {
public:
  configuration_trial() {
    addTarget("hive-1", "lakes-a");
    constexpr const char *DataCenters[] = {"lakes-a", "lakes-b", "lakes-c"};
    for (int Index = 0; Index < FLAGS_vms; ++Index)
      addNode("vm-" + std::to_string(Index), DataCenters[Index % 3]);
    updateVmList();
    std::string Accounts = "[[route]]\npath = \"/hive\"\nrepeatable = true\n";
    for (int Round = 0; Round < FLAGS_rounds; ++Round)
      Accounts += accountToml(accountName(Round), accountName(Round), 1e5, 1e5);
    writeServiceFile("hive", Accounts);
    publish("trial");
    awaitRevision(1);
    for (const auto &Node : Nodes) {
      awaitReady(*Node);
      awaitVmList(*Node);
      Connections.push_back(
          std::make_unique<http_connection>(Node->CallerPort));
    }
  }

  void measureIdleCost() {
    const double Before = platformCalls();
    const std::vector<double> BytesBefore = rolloutBytes();
    std::this_thread::sleep_for(std::chrono::seconds(FLAGS_rest_seconds));
    const double Calls = platformCalls() - Before;
    std::vector<double> Bytes = rolloutBytes();
    double Sum = 0;
    double Max = 0;
    for (std::size_t Index = 0; Index < Bytes.size(); ++Index) {
      const double Rate =
          (Bytes[Index] - BytesBefore[Index]) / FLAGS_rest_seconds;
      Sum += Rate;
      Max = std::max(Max, Rate);
    }
    std::printf("vms %d: watches and reads of the platform %.1f/s, rollout "
                "bytes received per VM mean %.0f/s most %.0f/s\n",
                FLAGS_vms, Calls / FLAGS_rest_seconds,
                Sum / static_cast<double>(Bytes.size()), Max);
  }

  void measureRevocations() {
    for (int Round = 0; Round < FLAGS_rounds; ++Round) {
      setPlatformFaults("down=0");
      awaitRevision(Round + 1);
      awaitConfirmed();
      ctl({"keys", "revoke", accountName(Round),
           digestOfKey(accountName(Round)).str(), "--author=trial",
           "--reason=trial"});
      const auto Accepted = clock::now();
      while (countRefusingVms(Round) == 0)
        std::this_thread::yield();
      setPlatformFaults("down=1");
      while (countRefusingVms(Round) < Connections.size())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      const std::chrono::duration<double, std::milli> ElapsedMs =
          clock::now() - Accepted;
      std::printf("vms %d round %d: last VM refused %.0f ms after acceptance\n",
                  FLAGS_vms, Round, ElapsedMs.count());
    }
  }

private:
  static std::string accountName(int Round) {
    return "account-" + std::to_string(Round);
  }

  std::string status(const running_node &Node) const {
    return httpCall(Node.OperatorPort, {.Path = "/status"}).Body;
  }

  void awaitVmList(const running_node &Node) const {
    awaitCondition("the list of VMs", [&] {
      return jsonInteger(status(Node), "vms_listed") == FLAGS_vms;
    });
  }

  void awaitConfirmed() const {
    for (const auto &Node : Nodes)
      awaitCondition("confirmation", [&] {
        return status(*Node).find("\"confirmed\"") != std::string::npos;
      });
  }

  std::size_t countRefusingVms(int Round) const {
    std::size_t Count = 0;
    for (const auto &Connection : Connections)
      Count +=
          Connection->call({.Path = "/hive",
                            .Fields = {{"Peridot-Key", accountName(Round)}}})
                      .Status == 401
              ? 1
              : 0;
    return Count;
  }

  double platformCalls() const {
    const std::string Counts =
        httpCall(PlatformPort, {.Path = "/admin/calls"}).Body;
    return jsonInteger(Counts, "watches") + jsonInteger(Counts, "reads");
  }

  std::vector<double> rolloutBytes() const {
    std::vector<double> Bytes;
    const std::string Series =
        "peridot_peer_received_bytes_total{subject=\"rollout\"} ";
    for (const auto &Node : Nodes) {
      const std::string Metrics =
          httpCall(Node->OperatorPort, {.Path = "/metrics"}).Body;
      const std::size_t Start = Metrics.find(Series);
      Bytes.push_back(Start == std::string::npos
                          ? 0
                          : std::stod(Metrics.substr(Start + Series.size())));
    }
    return Bytes;
  }

  std::vector<std::unique_ptr<http_connection>> Connections;
};

} // namespace

} // namespace peridot::test

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  peridot::test::configuration_trial Trial;
  Trial.measureIdleCost();
  Trial.measureRevocations();
}
