/// \file
/// A fleet of real processes on the stand-in for an object platform; every node
/// reaches the platform, and callers each target, through a fault proxy.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "support/fleet_fixture.h"

namespace peridot::test {

/// An account of the configuration.
struct store_account {
  std::string Name;
  std::vector<std::string> Keys;
  double RequestsPerSecond = 0;
  double Burst = 0;
};

/// A node and its way to the platform.
struct store_node {
  running_node Node;
  std::unique_ptr<running_proxy> Way;
};

/// A target behind a fault proxy.
struct store_target {
  running_target Target;
  std::unique_ptr<running_proxy> Way;
};

class store_fleet {
public:
  store_fleet();

  /// Routes /logs/ (repeatable, two attempts) and /dispatch/ (unrepeatable) of
  /// host "fleet" to service "hive"; \p ExtraRoutes as JSON objects.
  void writeConfiguration(int Version, const std::vector<store_account> &Of,
                          const std::string &ExtraRoutes = "") const;
  store_target &addTarget(const std::string &Name,
                          const std::string &DataCenter);
  /// Writes the target's entry; \p State as the platform spells it.
  void registerTarget(const store_target &Target,
                      const std::string &State = "ready") const;
  void removeTarget(const store_target &Target) const;
  store_node &addNode(const std::string &Name, const std::string &DataCenter);
  /// Starts the process anew on the ports that it had.
  void restart(store_node &Node) const;
  void awaitReady(const store_node &Node) const;
  void faults(const std::string &Query) const;
  int calls() const;

  std::unique_ptr<process> Platform;
  std::uint16_t PlatformPort = 0;
  std::vector<std::unique_ptr<store_node>> Nodes;
  std::vector<std::unique_ptr<store_target>> Targets;

private:
  void put(const std::string &Path, const std::string &Body) const;
};

/// One request with a key; the answer's outcome is told from its status.
http_answer keyedCall(http_connection &Connection, const std::string &Path,
                      const std::string &Key, const std::string &Id,
                      const std::string &Body = "");
http_answer keyedCall(std::uint16_t Port, const std::string &Path,
                      const std::string &Key, const std::string &Id,
                      const std::string &Body = "");

} // namespace peridot::test
