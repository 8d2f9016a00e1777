/// \file
/// Thresholds and periods of gray-failure detection.
#pragma once

#include <chrono>
#include <optional>

#include "state/base/types/instant.h"
#include "state/configuration/types/fleet_configuration.h"

namespace peridot {

/// Two hypotheses on the share of bad requests of a target.
struct test_hypotheses {
  double Healthy = 0; ///< Lowest share that is taken for usual.
  double Ill = 0;     ///< Lowest share that is taken for an illness.
};

/// When a target is judged ill. Scores are log-likelihood ratios.
struct detection_options {
  test_hypotheses Failures{.Healthy = 0.005, .Ill = 0.10};
  test_hypotheses Slow{.Healthy = 0.01, .Ill = 0.15};
  double Threshold = 14;
  /// Score that later requests must reach again before an ejection; 0: none.
  double SecondLook = 0;
  /// Part of the threshold that a second data centre must reach.
  double ConfirmShare = 0.35;
};

/// The thresholds behind a service's setting.
constexpr detection_options detectionFor(ejection_mode Mode) {
  if (Mode == ejection_mode::Fast)
    return {.Threshold = 9};
  return {.Threshold = 14, .SecondLook = 4};
}

/// How a target returns.
struct readmission_options {
  duration EjectionTime = std::chrono::seconds(5);
  duration LongestEjection = std::chrono::minutes(10);
  /// Good requests that end a trial.
  unsigned TrialRequests = 10;
  /// Ends a trial that got no requests.
  duration TrialLimit = std::chrono::seconds(60);
  /// Time without relapse after which an ejection is forgotten.
  duration ForgetRelapseAfter = std::chrono::minutes(10);
  duration DrainingTime = std::chrono::seconds(60);
  duration AvoidanceTime = std::chrono::seconds(30);
  /// Doublings of trial and ejection at most.
  unsigned MostDoublings = 6;
};

/// Settings of the detector of one service.
struct service_health_options {
  /// Takes the place of what the service's mode stands for.
  std::optional<detection_options> Detection;
  readmission_options Readmission;
};

} // namespace peridot
