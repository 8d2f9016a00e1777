#include "transport/node/internal/health_decisions.h"

#include <array>
#include <cstdio>

namespace peridot {

namespace {

std::string textOf(const verdict_evidence &Evidence) {
  std::array<char, 160> Text{};
  std::snprintf(Text.data(), Text.size(),
                "score %.1f of %.1f; failed %.1f%%, slow %.1f%%; peers failed "
                "%.1f%%",
                Evidence.Score, Evidence.Threshold, Evidence.FailureShare * 100,
                Evidence.SlowShare * 100, Evidence.PeerFailureShare * 100);
  return Text.data();
}

decision makeEntry(decision_kind Kind, const target_name &Target,
                   std::string Cause, std::string Evidence, std::string Rule) {
  return {.Kind = Kind,
          .Subject = subject_kind::Target,
          .Name = Target.str(),
          .Cause = std::move(Cause),
          .Evidence = std::move(Evidence),
          .Rule = std::move(Rule)};
}

decision entryFor(const target_ejected &Each) {
  return makeEntry(decision_kind::TargetEjected, Each.Target,
                   "much worse than its peers",
                   textOf(Each.Evidence) + "; ejection " +
                       std::to_string(Each.Relapses) + " in a row",
                   "the score reached the threshold of the service's mode");
}

decision entryFor(const ejection_withheld &Each) {
  return makeEntry(
      decision_kind::EjectionWithheld, Each.Target,
      std::to_string(Each.ServingSlots) + " slots serve, the floor is " +
          std::to_string(Each.FloorSlots),
      textOf(Each.Evidence), "healthy capacity never drops below the floor");
}

decision entryFor(const link_avoided &Each) {
  return makeEntry(
      decision_kind::LinkAvoided, Each.Target,
      "failing only for data centre " + Each.DataCenter.str(),
      textOf(Each.Evidence),
      "a target that fails for one data centre only is avoided there");
}

decision entryFor(const target_trial_started &Each) {
  return makeEntry(decision_kind::TargetTrialStarted, Each.Target,
                   "ejection or draining ended",
                   std::to_string(Each.Relapses) + " recent ejections",
                   "only a few repeatable requests until readmission");
}

decision entryFor(const target_readmitted &Each) {
  return makeEntry(decision_kind::TargetReadmitted, Each.Target, "trial ended",
                   "", std::string(Each.Rule));
}

decision entryFor(const target_draining &Each) {
  return makeEntry(decision_kind::TargetDraining, Each.Target,
                   "the target announced that it is leaving", "",
                   "a draining target receives no new requests");
}

} // namespace

decision journalEntryFor(const service_decision &Decision) {
  decision Entry = std::visit([](const auto &Each) { return entryFor(Each); },
                              Decision.Decision);
  Entry.Cause += "; service " + Decision.Service.str();
  if (Decision.IsStandalone)
    Entry.Rule +=
        "; the owner is not reachable, so this holds for this VM only";
  return Entry;
}

} // namespace peridot
