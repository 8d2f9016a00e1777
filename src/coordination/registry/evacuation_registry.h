/// \file
/// Data centres whose targets get no new requests, as the operator requests.
#pragma once

#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "coordination/routing/types/routing_snapshot.h"
#include "state/registry/types/requested_evacuation.h"

namespace peridot {

/// All evacuations were listed.
struct evacuations_listed {
  std::vector<requested_evacuation> Evacuations;
};

/// An evacuation was requested, or its entry changed.
struct evacuation_requested {
  requested_evacuation Evacuation;
};

/// The entry of an evacuation was removed.
struct evacuation_withdrawn {
  data_center_name DataCenter;
};

using evacuation_event = std::variant<evacuations_listed, evacuation_requested,
                                      evacuation_withdrawn>;

enum class evacuation_transition { Started, Ended };

/// One transition of one data centre, for the log.
struct evacuation_decision {
  data_center_name DataCenter;
  evacuation_transition Transition = evacuation_transition::Started;

  bool operator==(const evacuation_decision &) const = default;
};

/// Holds the evacuations that are in force. A data centre without any target is
/// evacuated, too, as its targets may only join later; so is the last one in
/// use, as the operator alone knows why. What was last known stays in force
/// until a later list or change says otherwise.
class evacuation_registry {
public:
  /// \returns whether the evacuated data centres have changed.
  bool handle(const evacuation_event &Event);
  /// Whether the evacuations have been listed.
  bool isKnown() const { return IsListed; }
  const data_center_set &dataCenters() const { return Evacuated; }
  /// Returns the transitions since the previous call.
  std::vector<evacuation_decision> takeDecisions() {
    return std::exchange(Decisions, {});
  }

private:
  bool accept(const evacuations_listed &Event);
  bool accept(const evacuation_requested &Event);
  bool accept(const evacuation_withdrawn &Event);

  data_center_set Evacuated;
  bool IsListed = false;
  std::vector<evacuation_decision> Decisions;
};

/// Removes the targets of evacuated data centres from a table. \returns their
/// number.
std::size_t removeEvacuated(target_table &Table,
                            const data_center_set &Evacuated);

} // namespace peridot
