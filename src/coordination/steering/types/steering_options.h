/// \file
/// What is assumed of targets until they are observed, and how the risks of a
/// choice are weighed against each other.
#pragma once

#include "state/base/types/instant.h"

namespace peridot {

/// Targets alternate between well and ill; spells of illness are short.
struct spell_options {
  /// Share of the time that a target is ill.
  double IllShare = 0.2;
  /// Probability that a target is ill of which nothing was heard yet.
  double FirstIllness = 0.05;
  duration MeanSpell = std::chrono::seconds(5);
  /// Shares of requests that fail at ill and at well targets.
  double IllFailures = 0.75;
  double WellFailures = 0.02;
  /// Odds by which a refusal for want of room speaks for illness.
  double ShedOdds = 2.0;
  /// Odds by which a request that is overdue speaks for illness.
  double OverdueOdds = 4.0;
  /// A running request is overdue after this many times its usual time.
  double OverdueFactor = 4.0;
  /// Weight of the latest request in a target's pace.
  double PaceWeight = 0.2;
};

/// Costs are shares of what a request is worth.
struct steering_options {
  /// Part of a failure's cost that is left when the request may be repeated.
  double RepeatableFactor = 0.35;
  /// Cost of using up the last free slot.
  double FullLoad = 0.15;
  /// Further cost of each time that the slots are taken in full.
  double Overload = 0.4;
  /// Time in which a reported load of other VMs falls to 37% of what it was.
  duration LoadFading = std::chrono::milliseconds(700);
  /// Cost of a target that takes twice as long as others.
  double Slowness = 0.2;
  double MostSlowness = 0.8;
  /// Cost of leaving the data centre, and for each kilobyte of the request.
  double CrossDataCenter = 0.06;
  double CrossPerKilobyte = 0.01;
  /// Most that is taken off the cost of a target of which nothing was heard for
  /// some time, so that it is tried again.
  double Curiosity = 0.15;
  /// Time without word of a target after which all of it is taken off.
  duration FullCuriosity = std::chrono::seconds(15);
  /// Largest random part; it spreads requests over equal choices.
  double Jitter = 0.03;
};

/// Which part of a service's targets stays in use: of those that seem well, and
/// of all while many attempts fail, as evidence against single targets is weak
/// then.
struct floor_options {
  /// Part of a service's sound targets that must get requests.
  double Share = 0.7;
  /// Added to it: which targets are sound is not known for certain.
  double Margin = 0.1;
  /// Time within which they must get one.
  duration Period = std::chrono::milliseconds(1'500);
  /// Illness up to which a target seems well.
  double SoundBelow = 0.5;
  /// Part of the attempts that fail from which on all targets count.
  double FailedShare = 0.09;
  /// Good attempts that are assumed besides those seen.
  double AssumedGood = 4;
};

/// Settings of the choice of targets.
struct steering_settings {
  steering_options Weights;
  spell_options Spells;
  floor_options Floor;
};

} // namespace peridot
