/// \file
/// Decides whether the keys on this VM are fresh enough to authenticate
/// requests.
///
/// Keys are fresh in two cases:
/// (a) A watcher recently confirmed with the platform that no revision above
///     the one in force exists.
/// (b) A peer recently responded, every data centre recently reported that it
///     cannot reach the platform, and no higher revision has been reported.
/// Otherwise a key may have been revoked without this VM learning of it, and
/// requests with a key are refused.
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

/// Returns the number that identifies a data centre in reports.
data_center_number numberOf(const data_center_name &DataCenter);

struct freshness_options {
  /// Maximum age of a confirmation that counts as evidence.
  duration MaxConfirmationAge = std::chrono::seconds(4);
  /// Maximum age of a report that the platform is unreachable, and of the
  /// newest peer response that is required along with such reports.
  duration MaxUnreachableAge = std::chrono::milliseconds(3'500);
  /// Number of data centres that may be silent while the platform is
  /// unreachable. With a value above 0, a revocation that only the silent data
  /// centres know of may be missed.
  std::size_t MaxSilentDataCenters = 0;
};

/// A platform call of this VM has ended.
struct platform_call_completed {
  data_center_name DataCenter; ///< Data centre of this VM.
  platform_state State = platform_state::Confirmed;
  revision Revision;
  /// Start of the call if the revision was confirmed, otherwise its end.
  instant At;
};

/// A peer responded to a request of this VM.
struct reports_received {
  std::vector<platform_report> Reports;
  revision InForce;    ///< Revision in force at the peer.
  instant RequestedAt; ///< When this VM sent the request.
};

/// A peer reported the revision in force there.
struct revision_reported {
  revision InForce;
};

using freshness_event =
    std::variant<platform_call_completed, reports_received, revision_reported>;

enum class freshness_basis { Confirmed, PlatformUnreachable, Stale };

/// Returns the stable name of a basis, as used in status pages and logs.
std::string_view nameOf(freshness_basis Basis);

/// Whether keys are fresh, and the evidence for it.
struct freshness_verdict {
  freshness_basis Basis = freshness_basis::Stale;
  std::string Evidence;

  bool isFresh() const { return Basis != freshness_basis::Stale; }
};

/// What an evaluation reads of this VM and the fleet.
struct freshness_context {
  instant Now;
  revision InForce;
  vm_name Self;
  data_center_name DataCenter;
  std::span<const member> Members;
};

/// Keeps the newest reports of each data centre and evaluates them.
class freshness_machine {
public:
  explicit freshness_machine(freshness_options Options) : Options(Options) {}

  void handle(const freshness_event &Event);

  freshness_verdict evaluate(const freshness_context &Context) const;
  /// Returns the reports to send to peers, with their ages at \p Now. While
  /// there is a recent confirmation, only the newest confirmation and the one
  /// of \p DataCenter are returned.
  std::vector<platform_report>
  reports(instant Now, const data_center_name &DataCenter) const;
  /// Returns the time of the newest reported platform call by a watcher of
  /// \p DataCenter.
  std::optional<instant> lastReportAt(const data_center_name &DataCenter) const;
  /// Returns the time of the newest confirmation from any data centre.
  std::optional<instant> lastConfirmationAt() const;
  revision highestReported() const { return HighestReported; }

private:
  struct dated_revision {
    revision Revision;
    instant At;
  };
  using reports_by_data_center = std::map<data_center_number, dated_revision>;

  void accept(const platform_call_completed &Event);
  void accept(const reports_received &Event);
  void accept(const revision_reported &Event);
  void addReport(data_center_number DataCenter, platform_state State,
                 dated_revision Report);
  std::vector<platform_report>
  recentConfirmations(instant Now, data_center_number DataCenter) const;
  bool isUnreachableFrom(const data_center_name &DataCenter, instant Now) const;
  freshness_verdict evaluateUnreachable(const freshness_context &Context) const;

  freshness_options Options;
  reports_by_data_center Confirmations;
  reports_by_data_center UnreachableReports;
  revision HighestReported;
  /// Send time of the newest request that a peer responded to.
  std::optional<instant> LastPeerContactAt;
};

} // namespace peridot
