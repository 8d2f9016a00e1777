/// \file
/// Which target gets a request, from what this VM and its peers observed.
#pragma once

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "coordination/steering/attempt_counts.h"
#include "coordination/steering/spell_estimator.h"
#include "coordination/steering/types/reported_load.h"
#include "state/configuration/types/fleet_configuration.h"

namespace peridot {

/// What matters about a request for the choice.
struct steered_request {
  bool Repeatable = false;
  std::size_t BodyBytes = 0;
  std::span<const target_name> Tried; ///< Never chosen again.
};

/// What was chosen.
struct steering_choice {
  const target *Target = nullptr; ///< Null: all were tried.
  /// It was taken because too few targets were in use.
  bool ForFloor = false;
};

/// The state of one choice.
struct steering_moment {
  data_center_name DataCenter; ///< Of this VM.
  instant Now{};
  /// Uniformly distributed bits.
  std::uint64_t Random = 0;
};

/// A running request at a target.
struct running_attempt {
  std::uint64_t Id = 0;
  instant StartedAt{};
  duration UsualTime{0}; ///< Zero: unknown.
};

/// Knows the targets that one traffic thread uses.
class target_steering {
public:
  explicit target_steering(const steering_settings &Settings = {})
      : Weights(Settings.Weights), Spells(Settings.Spells),
        Floor(Settings.Floor) {}

  /// The target with the least expected cost, of those that the floor asks for
  /// if there are any.
  steering_choice choose(std::span<const target> Targets,
                         const steered_request &Request,
                         const steering_moment &Moment) const;

  /// Notes that a request starts at a target. \returns its id.
  std::uint64_t begin(const target_name &Target, instant Now,
                      duration UsualTime);
  /// Notes that it ended. \p Pace its time relative to the usual, if known.
  void end(const target_name &Target, std::uint64_t Id, attempt_end End,
           std::optional<double> Pace, instant Now);
  /// Notes the load that a target reported while a request of this thread,
  /// which is still among the running ones, was answered.
  void noteLoad(const target_name &Target, const reported_load &Load,
                instant Now);
  /// Adds what a peer observed.
  void learn(const target_name &Target, attempt_end End, instant Now);

  /// Probability that a target is ill, with overdue requests.
  double illness(const target_name &Target, instant Now) const;

  /// Forgets targets that are not among \p Targets.
  void retain(std::span<const target_name> Targets);

private:
  struct known_target {
    explicit known_target(const spell_options &Spells) : Spell(Spells) {}

    spell_estimator Spell;
    attempt_counts Lately;
    std::vector<running_attempt> Running;
    /// When a request to it was last seen, of this VM or a peer.
    instant UsedAt{};
    /// Requests of others when the target last reported its load.
    double OthersRunning = 0;
    instant LoadAt{};
  };

  double illnessOf(const known_target &Known, instant Now) const;
  double costOf(const target &Target, const steered_request &Request,
                const steering_moment &Moment) const;
  /// Requests of other VMs at a target, as far as it reported them.
  double othersAt(const known_target &Known, instant Now) const;
  double loadCost(double Own, double Others, double Slots) const;
  bool usedLately(const target &Target, instant Now) const;
  /// True if many attempts at the targets of this data centre fail.
  bool muchFails(std::span<const target> Targets,
                 const steering_moment &Moment) const;
  /// True if too few targets of this data centre are in use.
  bool belowFloor(std::span<const target> Targets,
                  const steering_moment &Moment) const;
  /// The target with the least cost that was not tried; \p UnusedOnly: of those
  /// of this data centre that got no request lately.
  const target *cheapest(std::span<const target> Targets,
                         const steered_request &Request,
                         const steering_moment &Moment, bool UnusedOnly) const;
  known_target &know(const target_name &Name);
  const known_target *find(const target_name &Name) const;

  steering_options Weights;
  spell_options Spells;
  floor_options Floor;
  std::unordered_map<target_name, known_target> Targets;
  std::uint64_t LastId = 0;
};

} // namespace peridot
