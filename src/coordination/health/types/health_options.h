/// \file
/// Thresholds and times of gray-failure detection.
#pragma once

#include <chrono>
#include <optional>

#include "state/base/types/instant.h"
#include "state/configuration/types/fleet_configuration.h"

namespace peridot {

/// Fractions of bad requests that the sequential test compares.
struct test_hypotheses {
  double Healthy = 0; ///< Minimum fraction assumed for a healthy target.
  double Failing = 0; ///< Minimum fraction assumed for a failing target.
};

/// Evidence needed to eject a target. Scores are log-likelihood ratios.
struct detection_options {
  test_hypotheses Failures{.Healthy = 0.005, .Failing = 0.10};
  test_hypotheses Slow{.Healthy = 0.01, .Failing = 0.15};
  double Threshold = 14;
  /// Score that confirming evidence must reach before an ejection; 0 ejects
  /// without a confirmation window.
  double ConfirmationThreshold = 0;
  /// Fraction of the threshold that a second data centre must reach.
  double CorroborationRatio = 0.35;
};

/// Thresholds for the ejection mode that a service configures.
constexpr detection_options detectionFor(ejection_mode Mode) {
  if (Mode == ejection_mode::Fast)
    return {.Threshold = 9};
  return {.Threshold = 14, .ConfirmationThreshold = 4};
}

/// How ejected and draining targets return to service.
struct readmission_options {
  duration EjectionTime = std::chrono::seconds(5);
  duration MaxEjectionTime = std::chrono::minutes(10);
  /// Number of good requests that end a trial.
  unsigned TrialRequests = 10;
  /// Time after which a trial without requests ends in readmission.
  duration TrialTimeout = std::chrono::seconds(60);
  /// Time in service after which earlier ejections no longer count.
  duration ForgetRelapseAfter = std::chrono::minutes(10);
  duration DrainingTime = std::chrono::seconds(60);
  duration AvoidanceTime = std::chrono::seconds(30);
  /// Maximum number of doublings of the trial length and ejection time.
  unsigned MaxDoublings = 6;
};

/// Settings of one service's detector.
struct service_health_options {
  /// Overrides the thresholds of the service's ejection mode.
  std::optional<detection_options> Detection;
  readmission_options Readmission;
};

} // namespace peridot
