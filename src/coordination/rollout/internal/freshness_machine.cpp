#include "coordination/rollout/freshness_machine.h"

#include <algorithm>
#include <set>

#include "state/base/hashing.h"

namespace peridot {

namespace {

constexpr std::uint64_t NumberMask = 0xFFFFFFFF;

std::string millisecondsText(duration Time) {
  const auto Count =
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
  return std::to_string(Count) + " ms";
}

/// Returns the data centres, apart from this VM's own, that have to report that
/// the platform is unreachable.
std::set<data_center_name>
requiredDataCenters(const freshness_context &Context) {
  std::set<data_center_name> Required;
  for (const member &Member : Context.Members)
    if (Member.DataCenter != Context.DataCenter)
      Required.insert(Member.DataCenter);
  return Required;
}

bool hasPeers(const freshness_context &Context) {
  return std::ranges::any_of(Context.Members, [&](const member &Member) {
    return Member.Vm != Context.Self;
  });
}

} // namespace

data_center_number numberOf(const data_center_name &DataCenter) {
  return {rendezvousWeight("data-center", DataCenter.view()) & NumberMask};
}

std::string_view nameOf(freshness_basis Basis) {
  switch (Basis) {
  case freshness_basis::Confirmed:
    return "confirmed";
  case freshness_basis::PlatformUnreachable:
    return "platform-away";
  case freshness_basis::Stale:
    return "stale";
  }
  return "unknown";
}

void freshness_machine::handle(const freshness_event &Event) {
  std::visit([this](const auto &E) { accept(E); }, Event);
}

void freshness_machine::accept(const platform_call_completed &Event) {
  addReport(numberOf(Event.DataCenter), Event.State,
            {Event.Revision, Event.At});
}

void freshness_machine::accept(const reports_received &Event) {
  HighestReported = std::max(HighestReported, Event.InForce);
  if (!LastPeerContactAt || Event.RequestedAt > *LastPeerContactAt)
    LastPeerContactAt = Event.RequestedAt;
  for (const platform_report &Report : Event.Reports)
    if (Report.Age >= duration::zero())
      addReport(Report.DataCenter, Report.State,
                {Report.Revision, Event.RequestedAt - Report.Age});
}

void freshness_machine::accept(const revision_reported &Event) {
  HighestReported = std::max(HighestReported, Event.InForce);
}

void freshness_machine::addReport(data_center_number DataCenter,
                                  platform_state State, dated_revision Report) {
  HighestReported = std::max(HighestReported, Report.Revision);
  auto &Reports =
      State == platform_state::Confirmed ? Confirmations : UnreachableReports;
  const auto [Entry, Added] = Reports.try_emplace(DataCenter, Report);
  if (!Added && Report.At > Entry->second.At)
    Entry->second = Report;
}

freshness_verdict
freshness_machine::evaluate(const freshness_context &Context) const {
  if (Context.InForce == revision{})
    return {freshness_basis::Stale, "no configuration is in force"};
  for (const auto &[DataCenter, Report] : Confirmations) {
    const duration Age = Context.Now - Report.At;
    if (Report.Revision <= Context.InForce && Age <= Options.MaxConfirmationAge)
      return {freshness_basis::Confirmed,
              "confirmed " + millisecondsText(Age) + " ago"};
  }
  return evaluateUnreachable(Context);
}

freshness_verdict
freshness_machine::evaluateUnreachable(const freshness_context &Context) const {
  if (HighestReported > Context.InForce)
    return {freshness_basis::Stale, "revision " +
                                        std::to_string(HighestReported.Value) +
                                        " exists but is not loaded on this VM"};
  if (Context.Members.empty())
    return {freshness_basis::Stale, "the list of VMs has not been read yet"};
  const bool HasPeerContact =
      LastPeerContactAt &&
      Context.Now - *LastPeerContactAt <= Options.MaxUnreachableAge;
  if (hasPeers(Context) && !HasPeerContact)
    return {freshness_basis::Stale, "no other VM responds"};
  if (!isUnreachableFrom(Context.DataCenter, Context.Now))
    return {freshness_basis::Stale,
            "no recent report about the platform from this data centre"};
  const std::set<data_center_name> Required = requiredDataCenters(Context);
  std::size_t Silent = 0;
  std::string Names;
  for (const data_center_name &DataCenter : Required) {
    if (isUnreachableFrom(DataCenter, Context.Now))
      continue;
    ++Silent;
    Names += " " + DataCenter.str();
  }
  if (Silent > Options.MaxSilentDataCenters)
    return {freshness_basis::Stale,
            "no recent confirmation, and no report from" + Names};
  return {freshness_basis::PlatformUnreachable,
          "the platform is unreachable from " +
              std::to_string(Required.size() - Silent) + " other data centres"};
}

bool freshness_machine::isUnreachableFrom(const data_center_name &DataCenter,
                                          instant Now) const {
  const auto Found = UnreachableReports.find(numberOf(DataCenter));
  return Found != UnreachableReports.end() &&
         Now - Found->second.At <= Options.MaxUnreachableAge;
}

std::vector<platform_report>
freshness_machine::recentConfirmations(instant Now,
                                       data_center_number DataCenter) const {
  std::optional<instant> Newest = lastConfirmationAt();
  std::vector<platform_report> Out;
  for (const auto &[Number, Report] : Confirmations) {
    const duration Age = Now - Report.At;
    if (Age > Options.MaxConfirmationAge / 2 ||
        (Number != DataCenter && Report.At != Newest))
      continue;
    Out.push_back({.DataCenter = Number,
                   .State = platform_state::Confirmed,
                   .Revision = Report.Revision,
                   .Age = Age});
  }
  return Out;
}

std::vector<platform_report>
freshness_machine::reports(instant Now,
                           const data_center_name &DataCenter) const {
  std::vector<platform_report> Out =
      recentConfirmations(Now, numberOf(DataCenter));
  if (!Out.empty())
    return Out;
  const auto Append = [&](const reports_by_data_center &Reports,
                          platform_state State, duration Limit) {
    for (const auto &[DataCenter, Report] : Reports)
      if (Now - Report.At <= Limit)
        Out.push_back({.DataCenter = DataCenter,
                       .State = State,
                       .Revision = Report.Revision,
                       .Age = Now - Report.At});
  };
  Append(Confirmations, platform_state::Confirmed, Options.MaxConfirmationAge);
  Append(UnreachableReports, platform_state::Unreachable,
         Options.MaxUnreachableAge);
  return Out;
}

std::optional<instant>
freshness_machine::lastReportAt(const data_center_name &DataCenter) const {
  std::optional<instant> Last;
  for (const auto *Reports : {&Confirmations, &UnreachableReports}) {
    const auto Found = Reports->find(numberOf(DataCenter));
    if (Found != Reports->end() && (!Last || Found->second.At > *Last))
      Last = Found->second.At;
  }
  return Last;
}

std::optional<instant> freshness_machine::lastConfirmationAt() const {
  std::optional<instant> Last;
  for (const auto &[DataCenter, Report] : Confirmations)
    if (!Last || Report.At > *Last)
      Last = Report.At;
  return Last;
}

} // namespace peridot
