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

/// Data centres besides the own one whose word is needed while the platform is
/// away.
std::set<data_center_name> neededWitnesses(const freshness_question &Question) {
  std::set<data_center_name> Needed;
  for (const member &Member : Question.Members)
    if (Member.DataCenter != Question.DataCenter)
      Needed.insert(Member.DataCenter);
  return Needed;
}

bool hasOthers(const freshness_question &Question) {
  return std::ranges::any_of(Question.Members, [&](const member &Member) {
    return Member.Vm != Question.Self;
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
  case freshness_basis::PlatformAway:
    return "platform-away";
  case freshness_basis::Stale:
    return "stale";
  }
  return "unknown";
}

void freshness_machine::handle(const freshness_event &Event) {
  std::visit([this](const auto &E) { accept(E); }, Event);
}

void freshness_machine::accept(const platform_called &Event) {
  note(numberOf(Event.DataCenter), Event.State, {Event.Revision, Event.At});
}

void freshness_machine::accept(const reports_received &Event) {
  HighestHeard = std::max(HighestHeard, Event.InForce);
  if (!LastAnswer || Event.AskedAt > *LastAnswer)
    LastAnswer = Event.AskedAt;
  for (const platform_report &Report : Event.Reports)
    if (Report.Age >= duration::zero())
      note(Report.DataCenter, Report.State,
           {Report.Revision, Event.AskedAt - Report.Age});
}

void freshness_machine::accept(const revision_heard &Event) {
  HighestHeard = std::max(HighestHeard, Event.InForce);
}

void freshness_machine::note(data_center_number DataCenter,
                             platform_state State, dated_revision Report) {
  HighestHeard = std::max(HighestHeard, Report.Revision);
  auto &Reports = State == platform_state::Confirmed ? Confirmed : Away;
  const auto [Entry, Added] = Reports.try_emplace(DataCenter, Report);
  if (!Added && Report.At > Entry->second.At)
    Entry->second = Report;
}

freshness_verdict
freshness_machine::judge(const freshness_question &Question) const {
  if (Question.InForce == revision{})
    return {freshness_basis::Stale, "no configuration is in force"};
  for (const auto &[DataCenter, Report] : Confirmed) {
    const duration Age = Question.Now - Report.At;
    if (Report.Revision <= Question.InForce && Age <= Options.ConfirmedLimit)
      return {freshness_basis::Confirmed,
              "confirmed " + millisecondsText(Age) + " ago"};
  }
  return judgeAway(Question);
}

freshness_verdict
freshness_machine::judgeAway(const freshness_question &Question) const {
  if (HighestHeard > Question.InForce)
    return {freshness_basis::Stale, "revision " +
                                        std::to_string(HighestHeard.Value) +
                                        " exists and is not here yet"};
  if (Question.Members.empty())
    return {freshness_basis::Stale, "the list of VMs was never read"};
  const bool Heard =
      LastAnswer && Question.Now - *LastAnswer <= Options.AwayLimit;
  if (hasOthers(Question) && !Heard)
    return {freshness_basis::Stale, "no VM answers"};
  if (!isAway(Question.DataCenter, Question.Now))
    return {freshness_basis::Stale,
            "no recent word about the platform in this data centre"};
  const std::set<data_center_name> Needed = neededWitnesses(Question);
  std::size_t Silent = 0;
  std::string Names;
  for (const data_center_name &DataCenter : Needed) {
    if (isAway(DataCenter, Question.Now))
      continue;
    ++Silent;
    Names += " " + DataCenter.str();
  }
  if (Silent > Options.SilentDataCenters)
    return {freshness_basis::Stale,
            "no recent confirmation, and no word from" + Names};
  return {freshness_basis::PlatformAway,
          "the platform is away for " + std::to_string(Needed.size() - Silent) +
              " other data centres"};
}

bool freshness_machine::isAway(const data_center_name &DataCenter,
                               instant Now) const {
  const auto Found = Away.find(numberOf(DataCenter));
  return Found != Away.end() && Now - Found->second.At <= Options.AwayLimit;
}

std::vector<platform_report>
freshness_machine::recentConfirmations(instant Now,
                                       data_center_number DataCenter) const {
  std::optional<instant> Newest = lastConfirmation();
  std::vector<platform_report> Out;
  for (const auto &[Number, Report] : Confirmed) {
    const duration Age = Now - Report.At;
    if (Age > Options.ConfirmedLimit / 2 ||
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
  Append(Confirmed, platform_state::Confirmed, Options.ConfirmedLimit);
  Append(Away, platform_state::Away, Options.AwayLimit);
  return Out;
}

std::optional<instant>
freshness_machine::lastReport(const data_center_name &DataCenter) const {
  std::optional<instant> Last;
  for (const auto *Reports : {&Confirmed, &Away}) {
    const auto Found = Reports->find(numberOf(DataCenter));
    if (Found != Reports->end() && (!Last || Found->second.At > *Last))
      Last = Found->second.At;
  }
  return Last;
}

std::optional<instant> freshness_machine::lastConfirmation() const {
  std::optional<instant> Last;
  for (const auto &[DataCenter, Report] : Confirmed)
    if (!Last || Report.At > *Last)
      Last = Report.At;
  return Last;
}

} // namespace peridot
