/// \file
/// How urgent a request is compared with others that wait for the same service.
#pragma once

#include <compare>

#include "state/base/types/instant.h"
#include "state/configuration/types/fleet_configuration.h"

namespace peridot {

/// Priority class of a request: the account's priority goes before the route's;
/// smaller is more urgent.
struct urgency_class {
  unsigned AccountPriority = DefaultPriority;
  unsigned RoutePriority = DefaultPriority;

  auto operator<=>(const urgency_class &) const = default;
};

/// Rank of a request. Within a class those come first that can still be
/// answered within the route's target latency, and of these the oldest.
struct urgency {
  urgency_class Class;
  /// When the caller first sent the request, as far as known.
  instant WaitingSince{};
  /// Latest start with which the response is within the target latency.
  instant LatestTimelyStart = instant::max();
};

/// What is known of a request's times when it arrives.
struct request_times {
  instant ArrivedAt{};
  /// Until the deadline; less than that of the route if the caller says so.
  duration TimeLeft{0};
  duration TypicalLatency{0}; ///< Of the route; zero: unknown.
};

/// Returns the class of a request; \p Account is null on open routes.
urgency_class urgencyClassOf(const client_account *Account, const route &Route);

/// Returns the urgency of a request. A caller that leaves less time than the
/// route's deadline has waited or was rejected before.
urgency urgencyOf(const client_account *Account, const route &Route,
                  const request_times &Times);

/// Whether the routes of \p Service, or the accounts that may call them, have
/// different priorities.
bool hasPriorities(const fleet_configuration &Configuration,
                   const service &Service);

/// Identifies a route in the counts of an urgency_queue.
using route_id = strong_number<struct route_id_tag>;
route_id routeIdOf(const route &Route);

} // namespace peridot
