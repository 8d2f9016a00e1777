/// \file
/// Options of load balancing: assumptions about targets without observations,
/// and the relative costs of the risks of a choice.
#pragma once

#include "state/base/types/instant.h"

namespace peridot {

/// Model of targets that alternate between healthy times and short fault
/// episodes.
struct fault_episode_options {
  /// Share of time that a target is failing.
  double FailingShare = 0.2;
  /// Fault probability of a target without any observation.
  double InitialFaultProbability = 0.05;
  duration MeanEpisode = std::chrono::seconds(5);
  /// Shares of requests that fail at failing and at healthy targets.
  double FailureShareWhenFailing = 0.75;
  double FailureShareWhenHealthy = 0.02;
  /// Factor by which a request that the target shed raises the odds of a fault.
  double ShedOdds = 2.0;
  /// Factor by which an overdue request raises the odds of a fault.
  double OverdueOdds = 4.0;
  /// A running request is overdue after this many times its typical latency.
  double OverdueFactor = 4.0;
  /// Weight of the latest request in a target's average latency ratio.
  double LatencyRatioWeight = 0.2;
};

/// Costs are fractions of the value of a request.
struct target_cost_options {
  /// Fraction of a failure's cost that remains if the request is repeatable.
  double RepeatableFactor = 0.35;
  /// Cost of taking the last free slot.
  double FullLoadCost = 0.15;
  /// Additional cost of each further multiple of the target's slots in use.
  double OverloadCost = 0.4;
  /// Time in which the reported load of other VMs decays to 37%.
  duration LoadDecayTime = std::chrono::milliseconds(700);
  /// Cost of a target that takes twice as long as others.
  double SlownessCost = 0.2;
  double MaxSlownessCost = 0.8;
  /// Cost of leaving the data centre, and its increment for each kilobyte of
  /// the request and its response.
  double CrossDataCenterCost = 0.06;
  double CrossDataCenterCostPerKilobyte = 0.01;
  /// Maximum deduction from the cost of a target without recent observations,
  /// so that it is tried again.
  double ExplorationBonus = 0.15;
  /// Time without an observation after which the whole bonus applies.
  duration FullExplorationAfter = std::chrono::seconds(15);
  /// Maximum random cost; spreads requests over equal choices.
  double MaxJitter = 0.03;
  /// Maximum fault probability and latency, relative to the typical one, of a
  /// target that is used without a comparison with those of other VMs.
  double MaxSoundFaultProbability = 0.25;
  double MaxSoundLatencyRatio = 2;
};

/// Division of a data centre's targets among its hosts. What is compared in a
/// choice does not grow with the number of targets.
struct subset_options {
  /// With fewer hosts, each chooses among all targets: they rarely choose the
  /// same one, and few hosts know more of each target.
  std::size_t MinHosts = 4;
  /// Maximum numbers of targets that are compared in one choice: own ones,
  /// others of this data centre, and those of other data centres.
  std::size_t MaxOwnCompared = 8;
  std::size_t MaxLocalCompared = 8;
  std::size_t MaxRemoteCompared = 2;
  /// Time after which the targets in use are counted again. Longer with many
  /// targets, so that counting takes a fixed part of the processor time.
  duration MinFloorPeriod = std::chrono::milliseconds(50);
  duration FloorPeriodPerTarget = std::chrono::microseconds(300);
  /// Unrepeatable requests do not try doubtful targets if at least this
  /// fraction of the service's requests is repeatable.
  double MinRepeatableShare = 0.15;
  /// The fraction that is assumed of a service without requests.
  double InitialRepeatableShare = 0.3;
  /// Weight of the latest request in that fraction.
  double RepeatableShareWeight = 0.05;
};

/// Fraction of a service's targets that stays in use. Counts the targets that
/// seem healthy, or all targets while many attempts fail, as evidence against
/// single targets is weak then.
struct floor_options {
  /// Fraction of a service's healthy targets that must receive requests.
  double Share = 0.7;
  /// Added to Share, as it is not certain which targets are healthy.
  double Margin = 0.1;
  /// Time within which each of these targets must receive a request.
  duration Period = std::chrono::milliseconds(1'500);
  /// Maximum fault probability of a target that counts as healthy.
  double MaxHealthyFaultProbability = 0.5;
  /// Fraction of failed attempts above which all targets count.
  double HighFailureShare = 0.09;
  /// Number of successful attempts assumed in addition to the observed ones.
  double AssumedSuccesses = 4;
};

/// Settings of the choice of targets.
struct load_balancer_settings {
  target_cost_options Costs;
  fault_episode_options Episodes;
  floor_options Floor;
  subset_options Subsets;
};

} // namespace peridot
