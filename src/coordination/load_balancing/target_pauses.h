/// \file
/// Pauses that targets ask for when they turn requests away.
#pragma once

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "coordination/health/types/attempt_observation.h"
#include "state/configuration/types/fleet_configuration.h"

namespace peridot {

/// Bounds of the pauses that targets ask for.
struct target_pause_options {
  /// Longer pauses are shortened to this, so that one response cannot shut a
  /// target out for good.
  duration MaxPause = std::chrono::minutes(5);
  /// Maximum fraction of a pause that is added to it at random, so that not all
  /// return at the same moment.
  double MaxSpread = 0.1;
  /// A target that turns requests away does so at once: a trial that lasts
  /// longer counts as accepted.
  duration TrialTimeout = std::chrono::milliseconds(500);
};

/// A pause of one process of a target.
struct target_pause {
  target Target;
  instant StartedAt{};
  instant EndsAt{};
};

/// What a request for a pause changed.
enum class pause_change {
  None,     ///< A pause as long or longer is known, or its process has ended.
  Started,  ///< The target gets no new requests from now on.
  Extended, ///< The end moves to a later time.
};

/// Returns the pause that \p Target asked for at \p Now; empty if \p Requested
/// is zero or negative.
std::optional<target_pause> makePause(const target &Target,
                                      std::chrono::milliseconds Requested,
                                      instant Now,
                                      const target_pause_options &Options = {});

/// Returns \p Delay, lengthened by a fraction of up to \p MaxSpread.
/// \param Random uniformly distributed bits.
duration spreadDelay(duration Delay, double MaxSpread, std::uint64_t Random);

/// Tracks which targets get no requests because they asked for a pause; not
/// thread-safe. Of several pauses the one that ends last counts. After its end
/// one request tries the target before others follow. A pause belongs to the
/// process that asked for it: the next one under the same name, or another
/// target at its address, is not affected.
class target_pauses {
public:
  explicit target_pauses(const target_pause_options &Options = {})
      : Options(Options) {}

  /// Adds a pause. \p Random: uniformly distributed bits for the spread.
  pause_change accept(const target_pause &Pause, instant Now,
                      std::uint64_t Random);

  /// Whether the target gets no requests: its pause lasts, or the request that
  /// tries it is running.
  bool isPaused(const target &Target, instant Now) const;
  /// Returns the names of the targets for which isPaused() holds.
  std::vector<target_name> pausedAmong(std::span<const target> Targets,
                                       instant Now) const;
  /// Returns the time until the first of \p Targets leaves its pause; empty
  /// unless all are paused. Zero if a request is trying one of them.
  std::optional<duration> timeUntilFirst(std::span<const target> Targets,
                                         instant Now) const;
  /// Returns when the target gets requests again; empty without a pause.
  std::optional<instant> endOf(const target &Target) const;

  /// Records that a request is sent to a target that is not paused.
  /// \returns whether it is the one that tries the target after a pause.
  bool begin(const target &Target, instant Now);
  /// Records the end of a request for which begin() returned true.
  void endTrial(const target &Target, attempt_end End);

  /// Removes targets that are not among \p Targets and whose pause is over. A
  /// target may lose its entry and get it back meanwhile.
  void retain(std::span<const target_name> Targets, instant Now);

private:
  struct entry {
    target_pause Pause;
    instant ReturnsAt{}; ///< End of the pause including the random part.
    std::optional<instant> TrialStartedAt;
  };

  const entry *find(const target &Target) const;

  target_pause_options Options;
  std::unordered_map<target_name, entry> Entries;
};

} // namespace peridot
