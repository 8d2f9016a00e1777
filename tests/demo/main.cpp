/// \file
/// Runs a small fleet on stand-ins: three nodes in three data centres, a target
/// with a gray failure and an account that exceeds its rate. Prints how the
/// fleet responded, then exits.

#include <chrono>
#include <iostream>
#include <map>
#include <thread>

#include "support/caller_load.h"
#include "support/fleet_fixture.h"

namespace {

using namespace peridot::test;
using namespace std::chrono_literals;

constexpr const char *DataCenters[] = {"lakes-a", "lakes-b", "lakes-c"};
constexpr const char *GrayTarget = "hive-2";

/// A fleet of three nodes and four targets with a published configuration.
class demo_fleet : public fleet_fixture {
public:
  demo_fleet() {
    for (int Index = 0; Index < 4; ++Index)
      addTarget("hive-" + std::to_string(Index + 1), DataCenters[Index % 3]);
    for (int Index = 0; Index < 3; ++Index)
      addNode("vm-" + std::to_string(Index + 1), DataCenters[Index]);
    updateVmList();
    writeServiceFile("hive",
                     "ejection = \"fast\"\nfloor_percent = 50\n"
                     "[[route]]\npath = \"/hive\"\nrepeatable = true\n"
                     "deadline_ms = 2000\n" +
                         accountToml("keepers", "keeper-key", 200, 100) +
                         accountToml("renters", "renter-key", 20, 10));
    std::cout << publish("demo").Output;
    awaitRevision(1);
    for (const auto &Node : Nodes)
      awaitReady(*Node);
    awaitAccountsServed();
  }

  std::vector<std::uint16_t> callerPorts() const {
    std::vector<std::uint16_t> Ports;
    for (const auto &Node : Nodes)
      Ports.push_back(Node->CallerPort);
    return Ports;
  }

  void printOutput(const std::string &Title,
                   const std::vector<std::string> &Command) const {
    std::cout << "\n== " << Title << '\n' << ctl(Command).Output;
  }

private:
  /// Waits until every node serves both accounts, and so holds a share of their
  /// rates.
  void awaitAccountsServed() const {
    for (const auto &Node : Nodes)
      for (const char *Key : {"keeper-key", "renter-key"})
        awaitCondition("a successful response from " + Node->Name, [&] {
          return httpCall(Node->CallerPort,
                          {.Path = "/hive", .Fields = {{"Peridot-Key", Key}}})
                     .Status == 200;
        });
  }
};

bool isEjected(const demo_fleet &Fleet) {
  return Fleet.ctl({"explain", "target", GrayTarget})
             .Output.find("target-ejected") != std::string::npos;
}

void printResponseCounts(const std::string &Account,
                         const std::vector<response_record> &Responses) {
  std::map<std::string, unsigned> Counts;
  for (const response_record &Response : Responses) {
    std::string Result = "status " + std::to_string(Response.Status);
    if (!Response.Outcome.empty())
      Result += ", " + Response.Outcome;
    ++Counts[Result];
  }
  std::cout << Account << ":\n";
  for (const auto &[Result, Count] : Counts)
    std::cout << "  " << Result << ": " << Count << '\n';
}

void runDemo() {
  demo_fleet Fleet;
  std::cout << "3 nodes serve 4 targets in 3 data centres\n";
  caller_load Keepers({.Account = "keepers",
                       .Key = "keeper-key",
                       .Path = "/hive/logs",
                       .IsRepeatable = true,
                       .Ports = Fleet.callerPorts(),
                       .Pause = 20ms});
  caller_load Renters({.Account = "renters",
                       .Key = "renter-key",
                       .Path = "/hive/colony",
                       .IsRepeatable = true,
                       .Ports = Fleet.callerPorts(),
                       .Pause = 5ms});
  std::this_thread::sleep_for(2s);
  std::cout
      << GrayTarget
      << " turns gray: 60% of its requests fail while its probes succeed\n";
  Fleet.Targets[1]->setBehaviour("fail_percent=60");
  const auto Start = std::chrono::steady_clock::now();
  awaitCondition("ejection of the gray target",
                 [&] { return isEjected(Fleet); });
  std::cout << "ejected after "
            << std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::steady_clock::now() - Start)
                   .count()
            << " ms\n\n";
  printResponseCounts("keepers (within their rate)", Keepers.stop());
  printResponseCounts("renters (far above their rate)", Renters.stop());
  Fleet.printOutput("peridotctl explain target hive-2",
                    {"explain", "target", GrayTarget});
  Fleet.printOutput("peridotctl status", {"status"});
  Fleet.printOutput("peridotctl burn", {"burn"});
}

} // namespace

int main() {
  try {
    runDemo();
  } catch (const std::exception &Error) {
    std::cerr << "demo: " << Error.what() << '\n';
    return 1;
  }
  return 0;
}
