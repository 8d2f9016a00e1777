/// \file
/// The state that traffic threads route by: an immutable snapshot published by
/// the control thread.
#pragma once

#include <memory>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "state/configuration/configuration_index.h"

namespace peridot {

/// Whether a target gets new requests.
enum class target_condition {
  Serving,  ///< Gets new requests.
  Trial,    ///< Gets a few repeatable requests until it is readmitted.
  Draining, ///< Finishes running requests; gets no new ones.
  Ejected,  ///< Evaluated as failing; gets no new requests.
};

/// A VM that callers may use, as listed in an address response.
struct vm_address {
  vm_name Vm;
  data_center_name DataCenter;
  std::string Address; ///< IP address.
  std::uint16_t Port = 0;
  bool Suspected = false; ///< Listed last.

  bool operator==(const vm_address &) const = default;
};

/// Targets of each service that registers its targets.
using target_table = std::unordered_map<service_name, std::vector<target>>;
/// Names of data centres.
using data_center_set = std::set<data_center_name>;

/// Everything that routing reads, shared by all traffic threads.
struct routing_snapshot {
  configuration_ptr Configuration;
  /// Null if the services declare their targets in the configuration.
  std::shared_ptr<const target_table> RegisteredTargets;
  /// Data centres whose targets get no new requests and are not in
  /// RegisteredTargets; null: the fleet has no evacuations.
  std::shared_ptr<const data_center_set> Evacuated;
  /// Conditions other than Serving.
  std::unordered_map<target_name, target_condition> Conditions;
  /// VMs that accept new callers, in no particular order.
  std::vector<vm_address> Vms;
  /// Hosts of this VM's data centre, sorted by name; null: unknown.
  std::shared_ptr<const std::vector<vm_name>> LocalHosts;
  /// Whether keys are fresh. If not, this VM may not know of a revoked key.
  bool KeysAreFresh = false;
  /// Whether this VM is leaving the fleet.
  bool Leaving = false;

  std::span<const target> targetsOf(const service &Service) const {
    if (!RegisteredTargets)
      return Service.Targets;
    const auto Found = RegisteredTargets->find(Service.Name);
    return Found == RegisteredTargets->end() ? std::span<const target>()
                                             : std::span(Found->second);
  }

  bool isEvacuated(const data_center_name &Name) const {
    return Evacuated && Evacuated->contains(Name);
  }

  target_condition conditionOf(const target_name &Name) const {
    const auto Found = Conditions.find(Name);
    return Found == Conditions.end() ? target_condition::Serving
                                     : Found->second;
  }
};

using snapshot_ptr = std::shared_ptr<const routing_snapshot>;

} // namespace peridot
