/// \file
/// A fleet of real processes with the stand-in for an object platform. Nodes
/// reach the platform and the targets through fault proxies.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "support/fleet_fixture.h"

namespace peridot::test {

/// Account in the configuration.
struct store_account {
  std::string Name;
  std::vector<std::string> Keys;
  double RequestsPerSecond = 0;
  double Burst = 0;
};

/// A node and the fault proxy between it and the platform.
struct store_node {
  running_node Node;
  std::unique_ptr<running_proxy> Proxy;
  /// Between the other VMs and this one; null unless the fleet proxies peers.
  std::unique_ptr<running_proxy> PeerProxy;
  int TrafficThreads = 1; ///< Applies from the next start.
};

/// Requests that a target serves at a time unless a test chooses otherwise.
constexpr int DefaultSlots = 8;

/// A target and the fault proxy in front of it.
struct store_target {
  running_target Target;
  std::unique_ptr<running_proxy> Proxy;
  int Slots = DefaultSlots;
  int Process = 1;      ///< Differs between processes under the same name.
  int WarmUpLeftMs = 0; ///< Remaining time in which the target is cold.
};

/// Starts an object platform stand-in; tests add nodes and targets.
class store_fleet {
public:
  store_fleet();

  /// Writes a configuration of host "fleet" with the routes /logs/ (repeatable,
  /// two attempts), /packs/ (the same, with large responses) and /dispatch/
  /// (not repeatable) to service "hive".
  /// \param ExtraRoutePrefix path prefix of one more repeatable route; empty:
  /// none.
  void writeConfiguration(int Version,
                          const std::vector<store_account> &Accounts,
                          const std::string &ExtraRoutePrefix = "") const;
  /// \param Slots requests that the target serves at a time.
  store_target &addTarget(const std::string &Name,
                          const std::string &DataCenter,
                          int Slots = DefaultSlots);
  /// Writes the target's entry; \p State in the platform's spelling.
  void registerTarget(const store_target &Target,
                      const std::string &State = "ready") const;
  void removeTarget(const store_target &Target) const;
  /// Requests that a data centre is emptied, until endEvacuation().
  void evacuate(const std::string &DataCenter) const;
  void endEvacuation(const std::string &DataCenter) const;
  /// Removes a node's entry, whatever its revision.
  void removeVm(const store_node &Node) const;
  store_node &addNode(const std::string &Name, const std::string &DataCenter);
  /// Starts the node's process again on its earlier ports.
  void restart(store_node &Node) const;
  void awaitReady(const store_node &Node) const;
  /// Sets faults of the platform, for example `down=1`; empty: none.
  void setPlatformFaults(const std::string &Query) const;
  /// Creates an object as another writer; \p Spec is its content as JSON.
  void createEntry(const std::string &Kind, const std::string &Name,
                   const std::string &Spec) const;
  /// Sets how the platform lists objects, for example `page_size=1&strict=1`.
  void setPlatformLists(const std::string &Query) const;
  /// Number of calls that the platform received from nodes; writes of operators
  /// and targets are not counted.
  int platformCallCount() const;
  /// Number of such calls for objects of a kind.
  int platformCallCount(const std::string &Kind) const;

  std::unique_ptr<process> Platform;
  std::uint16_t PlatformPort = 0;
  std::vector<std::unique_ptr<store_node>> Nodes;
  std::vector<std::unique_ptr<store_target>> Targets;
  /// Puts a fault proxy in front of each node's peer port; applies to nodes
  /// that are added later.
  bool ProxiesPeers = false;
  /// Requests per second that a cold target bears; 0: not declared. Applies to
  /// configurations that are written later.
  double WarmUpPerSecond = 0;
  /// Flags of all nodes, after those of the fleet; apply from the next start.
  std::vector<std::string> NodeFlags;
  /// Deadline of all routes; applies from the next configuration.
  std::string RouteTimeout = "2s";

private:
  void addPeerProxy(store_node &Node) const;
  void put(const std::string &Path, const std::string &Body) const;
};

/// Sends a POST request with a key and a deadline of 2 s.
client_response callWithKey(http_connection &Connection,
                            const std::string &Path, const std::string &Key,
                            const std::string &Id,
                            const std::string &Body = "");
client_response callWithKey(std::uint16_t Port, const std::string &Path,
                            const std::string &Key, const std::string &Id,
                            const std::string &Body = "");

} // namespace peridot::test
