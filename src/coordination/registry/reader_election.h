/// \file
/// Which VMs of a data centre read the platform's store for the others.
///
/// Calls to the store are paid for, messages within a data centre are not: two
/// readers watch the store and tell the others what they read.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "coordination/registry/types/store_messages.h"
#include "state/base/types/identifiers.h"
#include "state/base/types/instant.h"

namespace peridot {

struct reader_options {
  std::size_t Readers = 2; ///< In each data centre.
  /// A reader counts as lost when nothing was heard of it for this long.
  duration SilenceLimit = std::chrono::milliseconds(1'200);
  /// Each VM waits this much longer than the one before it to replace a reader
  /// that was lost while another one is there.
  duration Stagger = std::chrono::milliseconds(300);
  /// Time between two looks of a reader whether the store answers it again, and
  /// how much longer each VM after the readers waits than the one before it.
  duration Look = std::chrono::milliseconds(400);
  duration LookStagger = std::chrono::milliseconds(200);
  duration LongestLook = std::chrono::seconds(3);
  /// The same at a VM that the store turns away while it answers a reader.
  duration LookWhileOthersRead = std::chrono::seconds(1);
};

/// Knows the VMs of one data centre and the reports of the readers.
class reader_election {
public:
  explicit reader_election(vm_name Self, reader_options Options = {})
      : Self(std::move(Self)), Options(Options) {}

  /// Replaces the VMs of the data centre, this one included, in the order in
  /// which they become readers.
  void ranked(std::span<const vm_name> Ranked);
  void heard(const vm_name &Vm, const reader_report &Report, instant Now);

  /// True if this VM reads the store itself.
  bool selfReads(instant Now);
  /// The other VMs that were heard and whom the store answers, in order.
  std::vector<vm_name> readers(instant Now) const;
  /// True if the readers that were heard last say that the store is away.
  bool storeAwayForReaders(instant Now) const;
  /// Time between two looks of this VM whether the store answers it again.
  duration lookPeriod(instant Now) const;

private:
  struct heard_report {
    bool StoreAnswers = false;
    instant At{};
  };

  bool isGood(const vm_name &Vm, instant Now) const;

  vm_name Self;
  reader_options Options;
  std::vector<vm_name> Order;
  std::map<vm_name, heard_report> Heard;
  /// Since when there are too few readers before this VM.
  std::optional<instant> FewSince;
};

} // namespace peridot
