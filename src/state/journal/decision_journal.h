/// \file
/// Journal of automatic decisions and their reasons; `explain` prints it.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// Kinds of automatic decisions.
enum class decision_kind {
  ConfigurationAccepted,
  TargetEjected,
  TargetReadmitted,
  TargetTrialStarted,
  TargetDraining,
  EjectionWithheld,
  LinkAvoided,
  ShardClaimed,
  ShardReleased,
  LeaseLost,
  ShareGranted,
  ShareReturned,
  KeysStale,
  KeysFresh,
  ConnectionsRetired,
  VmSuspected,
  VmTrusted,
  ShutdownStarted,
  StoreLost,
  StoreRegained,
  HostingStarted,
  HostingEnded,
  EvacuationStarted,
  EvacuationEnded,
};

/// Kinds of objects that a decision can apply to.
enum class subject_kind {
  Target,
  Account,
  Vm,
  Shard,
  Service,
  Configuration,
  DataCenter
};

/// One automatic decision.
struct decision {
  std::chrono::system_clock::time_point At; ///< Wall clock, for display only.
  decision_kind Kind = decision_kind::ConfigurationAccepted;
  subject_kind Subject = subject_kind::Configuration;
  std::string Name;     ///< Name of the subject.
  std::string Cause;    ///< Observation that led to the decision.
  std::string Evidence; ///< Measured values behind the cause.
  std::string Rule;     ///< Rule that was applied.
};

/// Stable names, as printed by `explain`.
std::string_view nameOf(decision_kind Kind);
std::string_view nameOf(subject_kind Kind);

/// Keeps the last \c Capacity decisions; drops the oldest when it is full.
class decision_journal {
public:
  explicit decision_journal(std::size_t Capacity) : Capacity(Capacity) {}

  void add(decision Decision);
  /// Returns the decisions about one subject, oldest first.
  std::vector<decision> findBySubject(subject_kind Subject,
                                      std::string_view Name) const;
  /// All kept decisions, oldest first.
  const std::deque<decision> &all() const { return Decisions; }

private:
  std::size_t Capacity;
  std::deque<decision> Decisions;
};

} // namespace peridot
