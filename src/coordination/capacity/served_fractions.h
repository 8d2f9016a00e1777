/// \file
/// Fraction of the requests that waited and were served, in total and for each
/// account and route.
#pragma once

#include <unordered_map>

#include "coordination/capacity/urgency.h"

namespace peridot {

/// Counts in which a request weighs less with its age.
class aged_count {
public:
  /// \param CountedTime age at which a request counts 1/e.
  explicit aged_count(std::chrono::duration<double> CountedTime)
      : CountedTime(CountedTime) {}

  /// Adds \p Amount after aging the count.
  void add(double Amount, instant Now);
  double value(instant Now) const;

private:
  std::chrono::duration<double> CountedTime;
  double Count = 0;
  instant CountedAt{};
};

/// Account and route of a request.
struct request_source {
  account_name Account; ///< Empty on open routes.
  route_id Route;
};

/// Counts of one queue; not thread-safe.
class served_fractions {
public:
  void recordArrival(const request_source &Source, instant Now);
  void recordServed(const request_source &Source, instant Now);
  /// Whether the account or the route is owed a request, because the fraction
  /// of its requests that is served is less than a guaranteed part of that of
  /// all requests.
  bool isOwed(const request_source &Source, instant Now) const;

private:
  /// Age at which a request counts 1/e.
  static constexpr std::chrono::seconds CountedTime{10};
  struct counts {
    aged_count Arrived{CountedTime};
    aged_count Served{CountedTime};
  };

  bool isOwed(const counts &Counts, instant Now) const;
  /// Removes sources whose requests no longer count.
  void dropAged(instant Now);

  counts Total;
  std::unordered_map<account_name, counts> Accounts;
  std::unordered_map<route_id, counts> Routes;
};

} // namespace peridot
