#include "model/fleet_search.h"

#include <algorithm>
#include <utility>

namespace peridot::test {

namespace {

/// Time until the averages of demand do not change any more.
constexpr unsigned SteadySteps = std::chrono::seconds(120) / ModelStep;

unsigned stepsOf(duration Span) {
  return static_cast<unsigned>((Span + ModelStep - duration{1}) / ModelStep);
}

const char *nameOf(message_fate Fate) {
  switch (Fate) {
  case message_fate::Lose:
    return "lose ";
  case message_fate::DelayToEndOfStep:
    return "overtake ";
  case message_fate::DelayToNextStep:
    return "delay ";
  }
  return "";
}

} // namespace

search_result fleet_search::runFromSteadyState() {
  fleet_model Model(Fleet);
  Model.startAll();
  Model.pass(SteadySteps);
  return run(std::move(Model));
}

search_result fleet_search::runFromStart() {
  fleet_model Model(Fleet);
  Model.startAll();
  return run(std::move(Model));
}

search_result fleet_search::run(fleet_model Model) {
  Result = {};
  Seen.clear();
  FirstStep = Model.stepNumber();
  LastStep = FirstStep + Options.ChangeSteps + stepsOf(LeaveTime) +
             stepsOf(UsableTime) + stepsOf(Fleet.Tolerance.Window);
  Model.beginStep();
  exploreStep(std::move(Model), Options.Depth, 0);
  return std::exchange(Result, {});
}

void fleet_search::exploreStep(fleet_model Model, unsigned Depth,
                               std::size_t FirstChange) {
  if (isFinished() || (FirstChange == 0 && wasSeen(Model, Depth)))
    return;
  exploreChanges(Model, Depth, FirstChange);
  Model.tick();
  exploreDeliveries(std::move(Model), Depth);
}

void fleet_search::exploreDeliveries(fleet_model Model, unsigned Depth) {
  while (!isFinished()) {
    while (Model.hasMessage()) {
      exploreFates(Model, Depth);
      Model.deliver();
      ++Result.Transitions;
    }
    if (!passStep(Model) || wasSeen(Model, Depth))
      return;
    exploreChanges(Model, Depth, 0);
    Model.tick();
  }
}

bool fleet_search::passStep(fleet_model &Model) {
  if (Model.stepNumber() == LastStep) {
    checkUsable(Model);
    return false;
  }
  if (!isOpen(Model))
    Model.heal();
  Model.beginStep();
  ++Result.Transitions;
  checkAdmitted(Model);
  return true;
}

void fleet_search::exploreChanges(const fleet_model &Model, unsigned Depth,
                                  std::size_t FirstChange) {
  if (Depth == 0 || !isOpen(Model))
    return;
  const std::vector<fleet_change> Changes = Model.possibleChanges();
  for (std::size_t Index = FirstChange; Index < Changes.size(); ++Index) {
    if (isFinished())
      return;
    if (isExcluded(Changes[Index]))
      continue;
    fleet_model Changed = Model;
    note(Model, Model.describe(Changes[Index]));
    Changed.apply(Changes[Index]);
    exploreStep(std::move(Changed), Depth - 1, Index + 1);
    Sequence.pop_back();
  }
}

void fleet_search::exploreFates(const fleet_model &Model, unsigned Depth) {
  if (Depth == 0 || !Options.HasMessageFates || !isOpen(Model))
    return;
  for (const message_fate Fate :
       {message_fate::Lose, message_fate::DelayToEndOfStep,
        message_fate::DelayToNextStep}) {
    if (isFinished())
      return;
    if (!Model.canApply(Fate))
      continue;
    fleet_model Changed = Model;
    note(Model, nameOf(Fate) + Model.describeMessage());
    Changed.apply(Fate);
    exploreDeliveries(std::move(Changed), Depth - 1);
    Sequence.pop_back();
  }
}

void fleet_search::note(const fleet_model &Model, std::string Departure) {
  ++Result.Transitions;
  Sequence.push_back("step " + std::to_string(Model.stepNumber() - FirstStep) +
                     ": " + std::move(Departure));
}

bool fleet_search::isExcluded(const fleet_change &Change) const {
  const auto *Cut = std::get_if<cut_vm>(&Change);
  return (!Options.HasFreezes && std::holds_alternative<freeze_vm>(Change)) ||
         (!Options.HasLongCuts && Cut &&
          Cut->Steps * ModelStep >= hosting_options{}.SilenceLimit);
}

bool fleet_search::wasSeen(const fleet_model &Model, unsigned Depth) {
  // Departures to come make no difference once none may begin.
  const unsigned Left = isOpen(Model) ? Depth : 0;
  const auto [Found, IsNew] = Seen.try_emplace(Model.digest(), Left);
  if (IsNew) {
    ++Result.States;
    return false;
  }
  if (Options.LeavesOutSeenStates && Found->second >= Left)
    return true;
  Found->second = std::max(Found->second, Left);
  return false;
}

void fleet_search::checkAdmitted(const fleet_model &Model) {
  for (std::size_t Account = 0; Account < Fleet.Accounts.size(); ++Account) {
    const double Admitted = Model.admittedInWindow(Account);
    const double Max = Model.maxAdmitted(Account);
    Result.MaxAdmittedShare = std::max(Result.MaxAdmittedShare, Admitted / Max);
    if (Admitted > Max)
      noteBreak(Model, "more than is allowed in a window");
  }
}

void fleet_search::checkUsable(const fleet_model &Model) {
  ++Result.Ends;
  if (!Model.allDataCentersRun()) {
    ++Result.EndsWithSilentDataCenter;
    return;
  }
  for (std::size_t Account = 0; Account < Fleet.Accounts.size(); ++Account) {
    const double Share =
        Model.admittedInWindow(Account) / Model.minAdmitted(Account);
    Result.MinUsableShare = std::min(Result.MinUsableShare, Share);
    if (Share < 1)
      noteBreak(Model, "less than the limit is usable");
  }
}

void fleet_search::noteBreak(const fleet_model &Model, std::string Seen) {
  std::string Text;
  for (const std::string &Each : Sequence)
    Text += Each + '\n';
  Result.Breaks.push_back(
      {.Sequence = std::move(Text),
       .Seen = std::move(Seen) + " at step " +
               std::to_string(Model.stepNumber() - FirstStep) + '\n' +
               Model.describeAdmissions()});
}

} // namespace peridot::test
