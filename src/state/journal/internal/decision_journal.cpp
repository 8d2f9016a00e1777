#include "state/journal/decision_journal.h"

namespace peridot {

std::string_view nameOf(decision_kind Kind) {
  switch (Kind) {
  case decision_kind::ConfigurationAccepted:
    return "configuration-accepted";
  case decision_kind::TargetEjected:
    return "target-ejected";
  case decision_kind::TargetReadmitted:
    return "target-readmitted";
  case decision_kind::TargetTrialStarted:
    return "target-trial-started";
  case decision_kind::TargetDraining:
    return "target-draining";
  case decision_kind::EjectionWithheld:
    return "ejection-withheld";
  case decision_kind::LinkAvoided:
    return "link-avoided";
  case decision_kind::ShardClaimed:
    return "shard-claimed";
  case decision_kind::ShardReleased:
    return "shard-released";
  case decision_kind::LeaseLost:
    return "lease-lost";
  case decision_kind::ShareGranted:
    return "share-lent";
  case decision_kind::ShareReturned:
    return "share-returned";
  case decision_kind::KeysStale:
    return "keys-stale";
  case decision_kind::KeysFresh:
    return "keys-fresh";
  case decision_kind::ConnectionsRetired:
    return "connections-retired";
  case decision_kind::VmSuspected:
    return "vm-suspected";
  case decision_kind::VmTrusted:
    return "vm-trusted";
  case decision_kind::ShutdownStarted:
    return "shutdown-started";
  case decision_kind::StoreLost:
    return "store-lost";
  case decision_kind::StoreRegained:
    return "store-regained";
  case decision_kind::HostingStarted:
    return "hosting-started";
  case decision_kind::HostingEnded:
    return "hosting-ended";
  case decision_kind::EvacuationStarted:
    return "evacuation-started";
  case decision_kind::EvacuationEnded:
    return "evacuation-ended";
  }
  return "unknown";
}

std::string_view nameOf(subject_kind Kind) {
  switch (Kind) {
  case subject_kind::Target:
    return "target";
  case subject_kind::Account:
    return "account";
  case subject_kind::Vm:
    return "vm";
  case subject_kind::Shard:
    return "shard";
  case subject_kind::Service:
    return "service";
  case subject_kind::Configuration:
    return "configuration";
  case subject_kind::DataCenter:
    return "data-center";
  }
  return "unknown";
}

void decision_journal::add(decision Decision) {
  if (Decisions.size() == Capacity)
    Decisions.pop_front();
  Decisions.push_back(std::move(Decision));
}

std::vector<decision>
decision_journal::findBySubject(subject_kind Subject,
                                std::string_view Name) const {
  std::vector<decision> Found;
  for (const decision &Each : Decisions)
    if (Each.Subject == Subject && Each.Name == Name)
      Found.push_back(Each);
  return Found;
}

} // namespace peridot
