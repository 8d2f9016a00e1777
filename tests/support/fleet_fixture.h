/// \file
/// A fleet of real processes for integration tests.
#pragma once

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "support/http_client.h"
#include "support/process.h"

namespace peridot::test {

/// A node process and its ports.
struct running_node {
  std::string Name;
  std::string DataCenter;
  std::unique_ptr<process> Process;
  std::uint16_t CallerPort = 0;
  std::uint16_t PeerPort = 0;
  std::uint16_t OperatorPort = 0;
  std::string ListState = "live";
  /// Peer port of a fault proxy, listed instead of PeerPort; 0: none.
  std::uint16_t AdvertisedPeerPort = 0;
};

/// A target stand-in process.
struct running_target {
  std::string Name;
  std::string DataCenter;
  std::unique_ptr<process> Process;
  std::uint16_t Port = 0;

  /// Sets the behaviour, for example `fail_percent=40`.
  client_response setBehaviour(const std::string &Query) const;
  /// Sets what all responses announce, for example `process=2&leaving=1`.
  client_response setAnnouncements(const std::string &Query) const;
  /// JSON list of the requests that the target ran.
  std::string executions() const;
  /// JSON list of the requests that reached the target.
  std::string arrivals() const;
  /// Highest number of requests during a pause that the target asked for.
  int pausedArrivals() const;
};

/// A fault proxy process in front of one port.
struct running_proxy {
  std::unique_ptr<process> Process;
  std::uint16_t Port = 0;
  std::uint16_t AdminPort = 0;

  /// Sets faults, for example `label=vm-1&forward_cut=1`; see fault_rules.h.
  void setFaults(const std::string &Query) const;
  /// Existing connections lose all further bytes in both directions; new ones
  /// work.
  void forgetConnections() const;
};

/// Starts a platform stand-in; tests add nodes and targets.
class fleet_fixture {
public:
  fleet_fixture();
  ~fleet_fixture();

  running_target &addTarget(const std::string &Name,
                            const std::string &DataCenter);
  running_node &addNode(const std::string &Name, const std::string &DataCenter,
                        const std::vector<std::string> &ExtraFlags = {});
  /// Puts a fault proxy in front of a port.
  running_proxy &addProxy(std::uint16_t TargetPort, bool IsPeerLink = false);
  /// Puts a fault proxy in front of a node's peer port; updateVmList() then
  /// lists the proxy's port for the other nodes.
  running_proxy &addPeerProxy(running_node &Node);
  /// Replaces the platform's VM list by the current nodes.
  void updateVmList();
  /// Sets faults of the platform, for example `down=1`.
  void setPlatformFaults(const std::string &Query) const;

  /// Writes a service file with all targets added so far.
  void writeServiceFile(const std::string &Service,
                        const std::string &RoutesAndAccounts);
  /// Publishes the service files with peridotctl.
  finished_program publish(const std::string &Reason,
                           const std::vector<std::string> &ExtraFlags = {});
  /// Runs peridotctl against the platform.
  finished_program ctl(const std::vector<std::string> &Args,
                       const std::string &Input = "") const;
  /// Waits until every node applies \p Revision or a later one.
  void awaitRevision(int Revision);
  void awaitReady(const running_node &Node) const;

  std::string folder() const { return Folder.string(); }
  std::string platformFlag() const;

  std::unique_ptr<process> Platform;
  std::uint16_t PlatformPort = 0;
  std::vector<std::unique_ptr<running_node>> Nodes;
  std::vector<std::unique_ptr<running_target>> Targets;
  std::vector<std::unique_ptr<running_proxy>> Proxies;

private:
  std::filesystem::path Folder;
};

/// TOML table of an account with one key.
std::string accountToml(const std::string &Name, const std::string &Key,
                        double Rate, double Burst);

} // namespace peridot::test
