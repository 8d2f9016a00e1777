/// \file
/// Whether this VM may trust the keys it holds.
///
/// Keys are fresh while (a) someone confirmed with the platform, less than a
/// limit ago, that no revision above the one in force exists, or (b) a peer
/// answers, every data centre says, less than a limit ago, that the platform is
/// away for it, and nobody named a higher revision. Otherwise a withdrawal may
/// exist that this VM cannot hear of, and keyed requests are refused.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "coordination/membership/types/membership_view.h"
#include "coordination/rollout/types/rollout_message.h"

namespace peridot {

/// Number under which reports name a data centre.
data_center_number numberOf(const data_center_name &DataCenter);

struct freshness_options {
  /// How long a confirmation counts.
  duration ConfirmedLimit = std::chrono::seconds(4);
  /// How long a report counts that the platform is away.
  duration AwayLimit = std::chrono::milliseconds(3'500);
  /// Data centres that may be silent while the platform is away. Above 0, a
  /// withdrawal that only they know of may be missed.
  std::size_t SilentDataCenters = 0;
};

/// This VM's own call to the platform ended.
struct platform_called {
  data_center_name DataCenter; ///< Of this VM.
  platform_state State = platform_state::Confirmed;
  revision Revision;
  instant At; ///< Confirmed: start of the call. Away: its end.
};

/// A peer answered.
struct reports_received {
  std::vector<platform_report> Reports;
  revision InForce; ///< At the peer.
  instant AskedAt;  ///< When this VM sent the question.
};

/// A peer named its revision without being asked.
struct revision_heard {
  revision InForce;
};

using freshness_event =
    std::variant<platform_called, reports_received, revision_heard>;

enum class freshness_basis { Confirmed, PlatformAway, Stale };

/// Stable text of a basis, as used in status and logs.
std::string_view nameOf(freshness_basis Basis);

/// Why keys are fresh, or are not.
struct freshness_verdict {
  freshness_basis Basis = freshness_basis::Stale;
  std::string Evidence;

  bool fresh() const { return Basis != freshness_basis::Stale; }
};

/// Who asks for a verdict.
struct freshness_question {
  instant Now;
  revision InForce;
  vm_name Self;
  data_center_name DataCenter;
  std::span<const member> Members;
};

/// Remembers the newest reports of each data centre.
class freshness_machine {
public:
  explicit freshness_machine(freshness_options Options) : Options(Options) {}

  void handle(const freshness_event &Event);

  freshness_verdict judge(const freshness_question &Question) const;
  /// Reports to pass on, with their ages at \p Now. While a confirmation is
  /// recent these are the newest one and the one of \p DataCenter only.
  std::vector<platform_report>
  reports(instant Now, const data_center_name &DataCenter) const;
  /// When a feeder of \p DataCenter last called the platform, if heard of.
  std::optional<instant> lastReport(const data_center_name &DataCenter) const;
  /// Newest confirmation of any data centre.
  std::optional<instant> lastConfirmation() const;
  revision highestHeard() const { return HighestHeard; }

private:
  struct dated_revision {
    revision Revision;
    instant At;
  };
  using reports_by_data_center = std::map<data_center_number, dated_revision>;

  void accept(const platform_called &Event);
  void accept(const reports_received &Event);
  void accept(const revision_heard &Event);
  void note(data_center_number DataCenter, platform_state State,
            dated_revision Report);
  std::vector<platform_report>
  recentConfirmations(instant Now, data_center_number DataCenter) const;
  bool isAway(const data_center_name &DataCenter, instant Now) const;
  freshness_verdict judgeAway(const freshness_question &Question) const;

  freshness_options Options;
  reports_by_data_center Confirmed;
  reports_by_data_center Away;
  revision HighestHeard;
  /// When the newest question was sent that a peer answered.
  std::optional<instant> LastAnswer;
};

} // namespace peridot
