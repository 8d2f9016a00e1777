/// \file
/// JSON encoding of the documents on a VM's operator port, which peridotctl
/// decodes.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "state/base/types/error.h"
#include "state/burn/burn_ledger.h"
#include "state/journal/decision_journal.h"

namespace peridot {

/// Number of shards that one VM owns.
struct shard_summary {
  std::uint64_t Owned = 0;
  std::uint64_t Acting = 0; ///< Owned shards whose lease is valid.
  std::chrono::milliseconds ActingFor{0}; ///< Until a valid lease expires.

  bool operator==(const shard_summary &) const = default;
};

/// State of one VM.
struct vm_status {
  vm_incarnation Vm;
  data_center_name DataCenter;
  revision Revision; ///< In force; 0 if none.
  bool KeysAreFresh = false;
  std::string Freshness; ///< Basis on which keys are fresh or stale.
  std::string FreshnessEvidence;
  /// Whether the VM watches the platform's service for its data centre. In a
  /// fleet that uses the platform's store: whether the VM is a host.
  bool IsWatcher = false;
  bool Leaving = false;
  std::uint64_t VmsListed = 0;
  std::uint64_t VmsSuspected = 0;
  std::uint64_t SilentLinks = 0;
  shard_summary Shards;
  /// Data centres whose targets get no new requests from this VM.
  std::vector<data_center_name> Evacuated;

  bool operator==(const vm_status &) const = default;
};

/// One decision in a VM's journal.
struct journal_entry {
  std::chrono::system_clock::time_point At; ///< By the clock of that VM.
  std::string Vm;                           ///< VM that made the decision.
  std::string Decision;
  std::string Subject;
  std::string Name;
  std::string Cause;
  std::string Evidence;
  std::string Rule;

  bool operator==(const journal_entry &) const = default;
};

journal_entry makeJournalEntry(const vm_name &Vm, const decision &Decision);

std::string encodeStatus(const vm_status &Status);
result<vm_status> decodeStatus(std::string_view Json);

std::string encodeJournal(std::span<const journal_entry> Entries);
result<std::vector<journal_entry>> decodeJournal(std::string_view Json);

std::string encodeBurn(std::span<const subject_burn> Rows);
result<std::vector<subject_burn>> decodeBurn(std::string_view Json);

/// Formats a time in UTC, such as `2026-12-04T11:05:09.123Z`.
std::string formatTime(std::chrono::system_clock::time_point At);

} // namespace peridot
