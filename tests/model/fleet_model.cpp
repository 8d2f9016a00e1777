#include "model/fleet_model.h"

#include <algorithm>
#include <numeric>
#include <sstream>
#include <utility>

#include "model/state_digest.h"
#include "state/base/types/overloaded.h"

namespace peridot::test {

namespace {

/// Requests of each account that come to each VM in a step, in multiples of
/// what the whole limit yields in a step.
constexpr double Overload = 2;
/// Time at which the model begins; any time long after a boot.
constexpr instant Begin{std::chrono::hours(1)};
/// Time within which a freeze or cut is missed by no one, and one that is
/// missed by all.
constexpr unsigned ShortFaultSteps = std::chrono::milliseconds(750) / ModelStep;
constexpr unsigned LongFaultSteps = std::chrono::seconds(3) / ModelStep;

double secondsOf(duration Span) {
  return std::chrono::duration<double>(Span).count();
}

/// Limits that change their form with the number of hosts: by the rules of
/// demand_options, they are divided among at most this many. Their names make
/// different VMs primaries.
constexpr rate_limit DividedAmongThree{.RequestsPerSecond = 30, .Burst = 1};
constexpr rate_limit DividedAmongTwo{.RequestsPerSecond = 20, .Burst = 1};
constexpr rate_limit SmallDividedAmongTwo{.RequestsPerSecond = 6, .Burst = 3};

std::vector<client_account> accountsFor(std::size_t VmCount) {
  const bool HasFour = VmCount == 4;
  return {{.Name = account_name("keepers"),
           .Limit = HasFour ? DividedAmongThree : DividedAmongTwo},
          {.Name = account_name("finders"),
           .Limit = HasFour ? DividedAmongTwo : SmallDividedAmongTwo}};
}

std::string textOf(cut_direction Direction) {
  switch (Direction) {
  case cut_direction::Both:
    return "all links of ";
  case cut_direction::From:
    return "the links from ";
  case cut_direction::To:
    return "the links to ";
  }
  return "";
}

} // namespace

modelled_fleet fleetOf(std::size_t VmCount) {
  modelled_fleet Fleet{.Vms = {{"a-1", "lakes-a", false},
                               {"a-2", "lakes-a", true},
                               {"b-1", "lakes-b", true}},
                       .Accounts = accountsFor(VmCount)};
  if (VmCount == 4)
    Fleet.Vms.push_back({"b-2", "lakes-b", false});
  return Fleet;
}

fleet_model::fleet_model(const modelled_fleet &Fleet)
    : Fleet(&Fleet), Now(Begin), Vms(Fleet.Vms.size()),
      CutUntilStep(Fleet.Vms.size() * Fleet.Vms.size()),
      Ranks(Fleet.Vms.size()), Admitted(Fleet.Accounts.size()) {}

limits_in_force fleet_model::limits() const {
  return {.IsKnown = true, .Accounts = Fleet->Accounts, .Hash = 1};
}

std::size_t fleet_model::indexOf(const vm_name &Name) const {
  const auto Found =
      std::ranges::find_if(Fleet->Vms, [&](const modelled_vm &Each) {
        return Each.Name == Name.view();
      });
  return static_cast<std::size_t>(Found - Fleet->Vms.begin());
}

std::vector<ranked_vm> fleet_model::list() const {
  std::vector<ranked_vm> Listed;
  for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm)
    if (Ranks[Vm] != 0)
      Listed.push_back(
          {.Vm = {.Vm = vm_name(Fleet->Vms[Vm].Name),
                  .DataCenter = data_center_name(Fleet->Vms[Vm].DataCenter),
                  .Incarnation = {Ranks[Vm]}},
           .Rank = Ranks[Vm]});
  return Listed;
}

void fleet_model::startAll() {
  for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm)
    Ranks[Vm] = ++LastRank;
  for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm)
    start(Vm);
}

void fleet_model::start(std::size_t Vm) {
  simulated_vm &Started = Vms[Vm];
  ++Started.Incarnation;
  Started.StopsAtStep.reset();
  Started.FrozenUntilStep = 0;
  hosting_machine &Machine = Started.Machine.emplace(
      vm_name(Fleet->Vms[Vm].Name), data_center_name(Fleet->Vms[Vm].DataCenter),
      Fleet->Tolerance);
  Machine.election().setRegisteredVms(list(), Now);
  Machine.start(Now);
  handle(Vm, first_configuration_accepted{});
}

void fleet_model::announceList() {
  for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm)
    if (runs(Vm))
      Messages.push_back({.From = Vm,
                          .To = Vm,
                          .ToIncarnation = Vms[Vm].Incarnation,
                          .Content = list_changed{}});
}

void fleet_model::handle(std::size_t Vm, const hosting_event &Event) {
  for (const hosting_effect &Effect :
       Vms[Vm].Machine->handle(Event, limits(), Now))
    if (const auto *Outgoing = std::get_if<outgoing_host_message>(&Effect))
      for (const vm_name &Each : Outgoing->Recipients)
        send(Vm, indexOf(Each), Outgoing->Message);
}

void fleet_model::send(std::size_t From, std::size_t To,
                       const host_message &Message) {
  if (runs(To))
    Messages.push_back({.From = From,
                        .To = To,
                        .ToIncarnation = Vms[To].Incarnation,
                        .Content = Message});
}

void fleet_model::beginStep() {
  Now += ModelStep;
  ++StepNumber;
  Messages.insert(Messages.end(), std::make_move_iterator(Delayed.begin()),
                  std::make_move_iterator(Delayed.end()));
  Delayed.clear();
  useShares();
  stopLeavers();
}

void fleet_model::stopLeavers() {
  for (simulated_vm &Each : Vms)
    if (Each.StopsAtStep == StepNumber) {
      Each.Machine.reset();
      Each.StopsAtStep.reset();
    }
}

void fleet_model::useShares() {
  const auto StepsInWindow =
      static_cast<std::size_t>(Fleet->Tolerance.Window / ModelStep);
  for (auto &Steps : Admitted) {
    Steps.push_back(0);
    if (Steps.size() > StepsInWindow)
      Steps.pop_front();
  }
  std::vector<refused_requests> Refused;
  for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm) {
    if (!runs(Vm) || isFrozen(Vm))
      continue;
    account_buckets &Buckets = Vms[Vm].Machine->buckets();
    for (std::size_t Account = 0; Account < Admitted.size(); ++Account) {
      const client_account &Limited = Fleet->Accounts[Account];
      const auto Requests = static_cast<unsigned>(
          Overload * Limited.Limit.RequestsPerSecond * secondsOf(ModelStep));
      unsigned Taken = 0;
      unsigned Asked = 0;
      bool IsAdmitted = true;
      while (IsAdmitted || Asked < Requests) {
        ++Asked;
        IsAdmitted = std::holds_alternative<rate_admitted>(
            Buckets.take(Limited.Name, rate_check::First, Now));
        Taken += IsAdmitted ? 1 : 0;
      }
      Admitted[Account].back() += Taken;
      Refused.push_back({.Vm = Vm, .Account = Account, .Count = Asked - Taken});
    }
  }
  for (const refused_requests &Each : Refused)
    useReserve(Each);
}

void fleet_model::useReserve(const refused_requests &Refused) {
  const account_name &Name = Fleet->Accounts[Refused.Account].Name;
  hosting_machine &Machine = *Vms[Refused.Vm].Machine;
  const auto Effects =
      Machine.handle(share_exhausted{.Account = Name}, limits(), Now);
  if (Effects.empty())
    return;
  const auto &Outgoing = std::get<outgoing_host_message>(Effects.front());
  const std::size_t Primary = indexOf(Outgoing.Recipients.front());
  if (!runs(Primary) || isFrozen(Primary) || isCut(Refused.Vm, Primary))
    return;
  auto Request = std::get<reserve_request>(Outgoing.Message);
  Request.Requests = Refused.Count;
  const auto Responses = Vms[Primary].Machine->handle(
      reserve_requested{.Sender = vm_name(Fleet->Vms[Refused.Vm].Name),
                        .Request = Request},
      limits(), Now);
  if (isCut(Primary, Refused.Vm))
    return;
  const auto &Response = std::get<outgoing_host_message>(Responses.front());
  const auto &Grant = std::get<reserve_grant>(Response.Message);
  Machine.handle(reserve_granted{.Grant = Grant}, limits(), Now);
  for (unsigned Count = 0; Count < Grant.Requests; ++Count)
    if (std::holds_alternative<rate_admitted>(
            Machine.buckets().take(Name, rate_check::Poll, Now)))
      ++Admitted[Refused.Account].back();
}

void fleet_model::tick() {
  for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm)
    if (runs(Vm) && !isFrozen(Vm) &&
        (StepNumber % 2 == 1) == Fleet->Vms[Vm].TicksInOddSteps)
      handle(Vm, hosting_ticked{});
}

void fleet_model::deliver() {
  message Message = std::move(Messages.front());
  Messages.pop_front();
  if (!runs(Message.To) ||
      Vms[Message.To].Incarnation != Message.ToIncarnation ||
      isCut(Message.From, Message.To))
    return;
  if (isFrozen(Message.To)) {
    Delayed.push_back(std::move(Message));
    return;
  }
  std::visit([&](const auto &Each) { receive(Message, Each); },
             Message.Content);
}

void fleet_model::receive(const message &Message, const host_message &Content) {
  const modelled_vm &Sender = Fleet->Vms[Message.From];
  std::visit(overloaded{[&](const host_report &Report) {
                          handle(Message.To, host_report_received{
                                                 .Sender = vm_name(Sender.Name),
                                                 .Report = Report});
                        },
                        [&](const data_center_report &Report) {
                          handle(Message.To,
                                 data_center_report_received{
                                     .Sender = vm_name(Sender.Name),
                                     .SenderDataCenter =
                                         data_center_name(Sender.DataCenter),
                                     .Report = Report});
                        },
                        [](const auto & /*Other*/) {}},
             Content);
}

void fleet_model::receive(const message &Message,
                          const list_changed & /*Content*/) {
  Vms[Message.To].Machine->election().setRegisteredVms(list(), Now);
}

bool fleet_model::canApply(message_fate Fate) const {
  const message &Next = Messages.front();
  const bool IsList = std::holds_alternative<list_changed>(Next.Content);
  // A VM reads the list until it has it.
  if (Fate == message_fate::Lose && IsList)
    return false;
  if (Fate == message_fate::DelayToEndOfStep && Messages.size() == 1)
    return false;
  return runs(Next.To) && !isFrozen(Next.To) && !isCut(Next.From, Next.To);
}

void fleet_model::apply(message_fate Fate) {
  message Next = std::move(Messages.front());
  Messages.pop_front();
  if (Fate == message_fate::DelayToEndOfStep)
    Messages.push_back(std::move(Next));
  else if (Fate == message_fate::DelayToNextStep)
    Delayed.push_back(std::move(Next));
}

void fleet_model::heal() {
  std::ranges::fill(CutUntilStep, 0);
  for (simulated_vm &Each : Vms)
    Each.FrozenUntilStep = 0;
}

void fleet_model::pass(unsigned Steps) {
  for (; Steps > 0; --Steps) {
    beginStep();
    tick();
    while (hasMessage())
      deliver();
  }
}

std::vector<fleet_change> fleet_model::possibleChanges() const {
  std::vector<fleet_change> Changes;
  for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm) {
    if (!runs(Vm)) {
      Changes.emplace_back(start_vm{Vm});
      continue;
    }
    Changes.emplace_back(kill_vm{Vm});
    if (!Vms[Vm].StopsAtStep)
      Changes.emplace_back(leave_vm{Vm});
    for (const unsigned Steps : {ShortFaultSteps, LongFaultSteps}) {
      if (!isFrozen(Vm))
        Changes.emplace_back(freeze_vm{Vm, Steps});
      for (const cut_direction Direction :
           {cut_direction::Both, cut_direction::From, cut_direction::To})
        Changes.emplace_back(cut_vm{Vm, Direction, Steps});
    }
  }
  return Changes;
}

void fleet_model::apply(const fleet_change &Change) {
  std::visit([this](const auto &Each) { change(Each); }, Change);
}

void fleet_model::change(const kill_vm &Change) {
  Vms[Change.Vm].Machine.reset();
  Vms[Change.Vm].StopsAtStep.reset();
  Vms[Change.Vm].FrozenUntilStep = 0;
}

void fleet_model::change(const start_vm &Change) {
  Ranks[Change.Vm] = ++LastRank;
  announceList();
  start(Change.Vm);
}

void fleet_model::change(const leave_vm &Change) {
  handle(Change.Vm, hosting_leave_started{});
  Ranks[Change.Vm] = 0;
  announceList();
  Vms[Change.Vm].StopsAtStep =
      StepNumber + static_cast<unsigned>(LeaveTime / ModelStep);
}

void fleet_model::change(const freeze_vm &Change) {
  Vms[Change.Vm].FrozenUntilStep = StepNumber + Change.Steps;
}

void fleet_model::change(const cut_vm &Change) {
  const auto Cut = [&](std::size_t From, std::size_t To) {
    unsigned &Until = CutUntilStep[From * Vms.size() + To];
    Until = std::max(Until, StepNumber + Change.Steps);
  };
  for (std::size_t Other = 0; Other < Vms.size(); ++Other) {
    if (Other == Change.Vm)
      continue;
    if (Change.Direction != cut_direction::To)
      Cut(Change.Vm, Other);
    if (Change.Direction != cut_direction::From)
      Cut(Other, Change.Vm);
  }
}

std::uint64_t fleet_model::digest() const {
  state_digest Digest;
  Digest.add(std::uint64_t{StepNumber});
  for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm) {
    const simulated_vm &Each = Vms[Vm];
    Digest.add(std::uint64_t{runs(Vm)});
    if (runs(Vm))
      Digest.add(*Each.Machine);
    Digest.add(Each.Incarnation);
    Digest.add(std::uint64_t{Each.StopsAtStep.value_or(0)});
    Digest.add(std::uint64_t{isFrozen(Vm) ? Each.FrozenUntilStep : 0});
    Digest.add(Ranks[Vm]);
  }
  for (const unsigned Until : CutUntilStep)
    Digest.add(std::uint64_t{Until > StepNumber ? Until : 0});
  const auto AddMessage = [&](const message &Each) {
    Digest.add(std::uint64_t{Each.From});
    Digest.add(std::uint64_t{Each.To});
    Digest.add(Each.ToIncarnation);
    if (const auto *Content = std::get_if<host_message>(&Each.Content))
      Digest.add(*Content);
  };
  std::ranges::for_each(Messages, AddMessage);
  Digest.add(std::uint64_t{Messages.size()});
  std::ranges::for_each(Delayed, AddMessage);
  for (const auto &Steps : Admitted)
    for (const unsigned Each : Steps)
      Digest.add(std::uint64_t{Each});
  return Digest.Value;
}

double fleet_model::admittedInWindow(std::size_t Account) const {
  const auto &Steps = Admitted[Account];
  return std::accumulate(Steps.begin(), Steps.end(), 0U);
}

double fleet_model::maxAdmitted(std::size_t Account) const {
  const rate_limit &Limit = Fleet->Accounts[Account].Limit;
  const rate_tolerance &Tolerance = Fleet->Tolerance;
  return (Limit.RequestsPerSecond * secondsOf(Tolerance.Window) + Limit.Burst) *
             (1 + Tolerance.Share) +
         Tolerance.Requests;
}

double fleet_model::minAdmitted(std::size_t Account) const {
  const rate_limit &Limit = Fleet->Accounts[Account].Limit;
  // A share at each VM, and the reserve.
  const auto Buckets = static_cast<double>(Vms.size() + 1);
  return Limit.RequestsPerSecond * secondsOf(Fleet->Tolerance.Window) - Buckets;
}

bool fleet_model::allDataCentersRun() const {
  return std::ranges::all_of(Fleet->Vms, [&](const modelled_vm &Named) {
    for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm)
      if (Fleet->Vms[Vm].DataCenter == Named.DataCenter && runs(Vm) &&
          !Vms[Vm].StopsAtStep)
        return true;
    return false;
  });
}

std::string fleet_model::describe(const fleet_change &Change) const {
  const auto NameOf = [this](std::size_t Vm) { return Fleet->Vms[Vm].Name; };
  return std::visit(
      overloaded{
          [&](const kill_vm &Each) { return "kill " + NameOf(Each.Vm); },
          [&](const start_vm &Each) { return "start " + NameOf(Each.Vm); },
          [&](const leave_vm &Each) { return "leave " + NameOf(Each.Vm); },
          [&](const freeze_vm &Each) {
            return "freeze " + NameOf(Each.Vm) + " for " +
                   std::to_string(Each.Steps) + " steps";
          },
          [&](const cut_vm &Each) {
            return "cut " + textOf(Each.Direction) + NameOf(Each.Vm) + " for " +
                   std::to_string(Each.Steps) + " steps";
          }},
      Change);
}

std::string fleet_model::describeMessage() const {
  const message &Next = Messages.front();
  const char *Kind = "list";
  if (const auto *Content = std::get_if<host_message>(&Next.Content))
    Kind = std::holds_alternative<host_report>(*Content) ? "host report"
                                                         : "data centre report";
  return std::string(Kind) + ' ' + Fleet->Vms[Next.From].Name + " -> " +
         Fleet->Vms[Next.To].Name;
}

std::string fleet_model::describeAdmissions() const {
  std::ostringstream Text;
  for (std::size_t Account = 0; Account < Admitted.size(); ++Account) {
    Text << Fleet->Accounts[Account].Name << ": " << admittedInWindow(Account)
         << " admitted, " << maxAdmitted(Account) << " allowed; by step:";
    for (const unsigned Each : Admitted[Account])
      Text << ' ' << Each;
    Text << '\n';
  }
  return Text.str();
}

} // namespace peridot::test
