/// \file
/// Connects the hosting machine to the peer links.
#pragma once

#include "coordination/hosting/hosting_machine.h"
#include "coordination/registry/target_registry.h"
#include "transport/node/control_context.h"
#include "transport/platform/types/fleet_store.h"

namespace peridot {

/// Runs on the control thread, except for takeRate() and reportAttempts().
class hosting_driver {
public:
  /// Called with targets that said to a peer that they leave.
  using leaving_callback = std::function<void(std::span<const target_leaving>)>;

  /// Called with the hosts of this VM's data centre at each tick and change.
  using hosts_callback = std::function<void(std::span<const vm_name>)>;

  hosting_driver(node_services &Services, leaving_callback OnLeaving,
                 hosts_callback OnHosts);

  void start();
  /// Applies VM entries of the store; \p IsList: \p Items are all entries.
  void apply(const store_items &Items, bool IsList);
  /// Applies changed settings.
  void settingsChanged();
  /// Called after a configuration has come into force. Requests that wait for
  /// the first shares of their accounts get them at once.
  void configurationAccepted();
  /// Notifies the local peers that this VM is leaving.
  void leave();

  /// Returns the addresses of the hosts for callers in \p DataCenter.
  std::vector<vm_address>
  addressesFor(const data_center_name &DataCenter) const;
  /// Returns the VMs of this data centre, largest spare capacity first.
  std::vector<vm_name> ranking() const { return Election.ranking(); }
  /// Returns a VM's entry in the list; null if it has none.
  const ranked_vm *findRegistered(const vm_name &Vm) const;
  bool isHost() const { return IsHost; }
  std::size_t registeredVmCount() const { return RegisteredVms.size(); }

  /// Takes one request from an account's share. Thread-safe.
  rate_decision takeRate(const client_account &Account, rate_check Check);
  /// Reports ended attempts to the other hosts of this data centre.
  /// Thread-safe.
  void reportAttempts(std::vector<attempt_observation> Attempts);

private:
  void tick(instant Now);
  /// Sets the VMs that messages can be sent to.
  void updatePeers();
  /// Lets the machine process \p Event and performs its effects.
  void handle(const hosting_event &Event, instant Now);
  void perform(const outgoing_host_message &Effect);
  void perform(const hosts_view_changed &Effect);
  void perform(const host_count_changed &Effect);
  void perform(const refused_beside_idle_part &Effect);
  void perform(const contradictory_report &Effect);
  void perform(const service_quotas_changed &Effect);
  /// Returns the slots of all services and this VM's demand for them.
  own_services ownServices(instant Now);
  /// Updates IsHost and records a change of it.
  void updateHosting(instant Now);
  /// Publishes the hosts of this data centre to the traffic threads.
  void publishLocalHosts(instant Now);
  /// Identifies the limits in force and the tolerance.
  std::uint64_t limitsHash();
  /// Divides the fleet's retry budget among hosts and traffic threads.
  void updateRetryBudgets();
  void sendEvidence(std::span<const attempt_observation> Attempts);
  void send(const vm_name &Peer, const host_message &Message);
  void sendEncoded(const vm_name &Peer, bytes_view Encoded);
  void receive(const peer_hello &Sender, bytes_view Body);
  void on(const peer_hello &Sender, const host_report &Report);
  void on(const peer_hello &Sender, const data_center_report &Report);
  void on(const peer_hello &Sender, const evidence_batch &Batch);
  void on(const peer_hello &Sender, const reserve_request &Request);
  void on(const peer_hello &Sender, const reserve_grant &Grant);

  node_services &Services;
  leaving_callback OnLeaving;
  hosts_callback OnHosts;
  hosting_machine Machine;
  host_election &Election; ///< Of Machine.
  std::map<vm_name, ranked_vm> RegisteredVms;
  timer_subscription Timer;
  /// Limits that LimitsHash was computed from.
  configuration_ptr HashedLimits;
  std::uint64_t LimitsHash = 0;
  bool IsHost = false;
  bool HasShares = false; ///< Shares were computed for a first configuration.
};

} // namespace peridot
