#include "transport/node/internal/hosting_driver.h"

#include <algorithm>
#include <set>

#include <boost/asio/post.hpp>

#include "protocol/host_messages/host_codec.h"
#include "state/base/types/overloaded.h"
#include "transport/logging/event_log.h"

namespace peridot {

namespace {

constexpr std::chrono::milliseconds TickPeriod{500};
/// Demands are told with every such tick.
constexpr std::uint64_t DemandTicks = 2;
/// Time between two looks whether the home of an account gave a request, the
/// longest wait for it, in which a link may have to be opened first, and the
/// time after which question or answer count as lost.
constexpr std::chrono::milliseconds GivenRateLook{4};
constexpr std::chrono::milliseconds GivenRatePatience{500};
constexpr std::chrono::milliseconds GivenRateRepeat{150};
/// Part of the fleet's retry budget that is used; the rest absorbs that VMs
/// do not agree on the number of hosts at every moment.
constexpr double RetrySafety = 0.9;
/// Retries that a new budget holds: the VM whose callers have come to this one
/// may just have used up its own.
constexpr double RetriesAtFirst = 1;

peer_address peerAddressOf(const registered_vm &Vm) {
  boost::system::error_code Error;
  const auto Address = boost::asio::ip::make_address(Vm.Address, Error);
  return {Vm.Vm, {Error ? boost::asio::ip::address() : Address, Vm.PeerPort}};
}

} // namespace

hosting_driver::hosting_driver(node_services &Services)
    : Services(Services),
      Election(Services.Self.Vm, Services.Settings.DataCenter),
      Demands({.Tolerance = Services.Settings.RateTolerance}) {}

void hosting_driver::start() {
  Services.Peers.subscribe(frame_subject::Hosts,
                           [this](const peer_hello &Sender, bytes_view Body) {
                             receive(Sender, Body);
                           });
  LastTick = Services.Timers.now();
  shareRetries();
  Timer = Services.Timers.every(TickPeriod, [this](instant Now) { tick(Now); });
}

bool hosting_driver::ready() const {
  return Services.Snapshots.current().Configuration != nullptr && !Leaving;
}

void hosting_driver::apply(const store_items &Items, bool IsList) {
  if (IsList)
    Listed.clear();
  for (const store_item &Item : Items.Items) {
    const auto *Vm = std::get_if<registered_vm>(&Item.Content);
    if (Item.Removed)
      Listed.erase(vm_name(Item.Name));
    else if (Vm)
      Listed[Vm->Vm] = {.Vm = *Vm, .Rank = Item.Revision};
  }
  std::vector<ranked_vm> Ranked;
  std::vector<peer_address> Peers;
  for (const auto &[Name, Each] : Listed) {
    Ranked.push_back(Each);
    if (Name != Services.Self.Vm)
      Peers.push_back(peerAddressOf(Each.Vm));
  }
  Services.Peers.setPeers(Peers);
  const instant Now = Services.Timers.now();
  Election.registered(Ranked, Now);
  noteHosting(Now);
}

void hosting_driver::tick(instant Now) {
  Election.selfReady(ready());
  Election.fitHosts(Now);
  noteHosting(Now);
  shareLimits(Now);
  sendReports(Now);
  reportDataCenter(Now);
  LastTick = Now;
  ++Ticks;
}

void hosting_driver::noteHosting(instant Now) {
  const bool Hosts = Election.selfHosts(Now);
  if (Hosts == IsHost)
    return;
  IsHost = Hosts;
  Services.Decisions.record(
      {.Kind =
           Hosts ? decision_kind::HostingStarted : decision_kind::HostingEnded,
       .Subject = subject_kind::Vm,
       .Name = Services.Self.Vm.str(),
       .Cause = std::to_string(Listed.size()) + " VMs are registered",
       .Rule = "the VMs of a data centre that registered first and are heard "
               "take its callers"});
}

void hosting_driver::shareLimits(instant Now) {
  const auto Asked = Buckets.takeDemand(
      std::max<duration>(Now - LastTick, std::chrono::milliseconds(1)));
  Demands.observed(Asked);
  const std::size_t CountBefore = Hosts.size();
  Hosts.clear();
  Homes.clear();
  for (const data_center_name &Each : Election.dataCenters()) {
    for (const registered_vm &Vm : Election.hosts(Each, Now))
      Hosts.push_back(Vm.Vm);
    for (vm_name &Vm : Election.steadyHosts(Each, Now))
      Homes.push_back(std::move(Vm));
  }
  const configuration_ptr &Current = Services.Snapshots.current().Configuration;
  if (Current)
    Buckets.configure(Demands.parts(Current->configuration().Accounts,
                                    {.Hosts = Hosts, .Homes = Homes},
                                    Services.Self.Vm, Now),
                      Now);
  if (Hosts.size() != CountBefore)
    shareRetries();
}

void hosting_driver::shareRetries() {
  const double Count =
      static_cast<double>(std::max<std::size_t>(Hosts.size(), 1));
  for (const auto &Worker : Services.Workers)
    Worker->configureRetries(
        {.RetriesPerSuccess = 0,
         .RetriesPerRequest = Services.Settings.RetryRatio * RetrySafety,
         .PerAccount = false,
         .ChargeRefused = true,
         .Capacity = Services.Settings.RetryExtra * RetrySafety / Count /
                     static_cast<double>(Services.Workers.size()),
         .AtFirst = RetriesAtFirst});
}

void hosting_driver::settingsChanged() {
  Demands.setTolerance(Services.Settings.RateTolerance);
  shareRetries();
}

void hosting_driver::sendReports(instant Now) {
  if (!Election.selfReports(Now) && !Leaving)
    return;
  host_report Report{.Ready = ready(), .Leaving = Leaving};
  for (const account_demand &Each : Demands.own())
    Report.RequestsPerSecond += Each.PerSecond;
  const host_message Brief = Report;
  std::set<vm_name> Informed;
  if (Ticks % DemandTicks == 0) {
    Demands.told();
    Report.Demands.assign(Demands.own().begin(), Demands.own().end());
  }
  const host_message Full = std::move(Report);
  for (const vm_name &Name : Election.reporters(Now))
    if (Name != Services.Self.Vm && Informed.insert(Name).second)
      send(Name, Full);
  for (const vm_name &Name : Election.neighbours())
    if (Informed.insert(Name).second)
      send(Name, Brief);
}

void hosting_driver::reportDataCenter(instant Now) {
  const data_center_name &Own = Services.Settings.DataCenter;
  const std::vector<vm_name> Steady = Election.steadyHosts(Own, Now);
  const auto Self = std::ranges::find(Steady, Services.Self.Vm);
  if (Self == Steady.end())
    return;
  data_center_report Report{.DataCenter = Own, .Weights = Demands.weights()};
  for (const registered_vm &Vm : Election.hosts(Own, Now))
    Report.Hosts.push_back(Vm.Vm);
  const host_message Message = std::move(Report);
  // Each steady host has one of theirs to tell, so that two ways lead there.
  const auto Place = static_cast<std::size_t>(Self - Steady.begin());
  for (const data_center_name &Each : Election.dataCenters()) {
    const std::vector<vm_name> Contacts = Election.contacts(Each, Now);
    if (Each != Own && !Contacts.empty())
      send(Contacts[Place % Contacts.size()], Message);
  }
}

void hosting_driver::passOn(const data_center_report &Report) {
  const std::vector<vm_name> Reporters =
      Election.reporters(Services.Timers.now());
  const auto Full = encodeHostMessage(Report);
  const auto Brief = encodeHostMessage(data_center_report{
      .DataCenter = Report.DataCenter, .Hosts = Report.Hosts});
  for (const vm_name &Name : Election.neighbours()) {
    const bool Uses = std::ranges::find(Reporters, Name) != Reporters.end();
    sendEncoded(Name, Uses ? Full : Brief);
  }
}

void hosting_driver::leave() {
  Leaving = true;
  const instant Now = Services.Timers.now();
  Election.selfReady(false);
  sendReports(Now);
  noteHosting(Now);
}

std::vector<vm_address>
hosting_driver::addressesFor(const data_center_name &DataCenter) const {
  std::vector<vm_address> Addresses;
  for (const registered_vm &Vm :
       Election.hosts(DataCenter, Services.Timers.now()))
    Addresses.push_back({.Vm = Vm.Vm,
                         .DataCenter = Vm.DataCenter,
                         .Address = Vm.Address,
                         .Port = Vm.CallerPort});
  return Addresses;
}

rate_decision hosting_driver::takeRate(const client_account &Account,
                                       rate_question Question) {
  rate_decision Decision = Buckets.take(Account.Name, Question, bootNow());
  auto *Refused = std::get_if<rate_refused>(&Decision);
  if (!Refused)
    return Decision;
  Refused->LookAfter = GivenRateLook;
  Refused->Patience = GivenRatePatience;
  Refused->AskAgainAfter = GivenRateRepeat;
  if (Question != rate_question::Look)
    boost::asio::post(Services.Loop,
                      [this, Name = Account.Name] { askHome(Name); });
  return Decision;
}

void hosting_driver::askHome(const account_name &Account) {
  const vm_name Home = homeOf(Account, Homes);
  if (!Home.empty() && Home != Services.Self.Vm)
    send(Home, rate_wanted{.Account = Account, .Requests = 1});
}

void hosting_driver::on(const peer_hello &Sender, const rate_wanted &Wanted) {
  const unsigned Given =
      Buckets.giveAway(Wanted.Account, Wanted.Requests, Services.Timers.now());
  // Also word of none, so that the request is refused at once.
  send(Sender.Sender.Vm,
       rate_given{.Account = Wanted.Account, .Requests = Given});
}

void hosting_driver::on(const peer_hello & /*Sender*/,
                        const rate_given &Given) {
  Buckets.receive(Given.Account, Given.Requests);
}

void hosting_driver::handOver(std::vector<attempt_observation> Attempts) {
  boost::asio::post(Services.Loop,
                    [this, Seen = std::move(Attempts)] { sendEvidence(Seen); });
}

void hosting_driver::sendEvidence(
    std::span<const attempt_observation> Attempts) {
  evidence_batch Batch;
  for (const attempt_observation &Each : Attempts) {
    if (Each.End == attempt_end::Cancelled)
      continue;
    const auto Known =
        std::ranges::find_if(Batch.Evidence, [&Each](const attempt_tally &Row) {
          return Row.Target == Each.Target && Row.End == Each.End;
        });
    if (Known != Batch.Evidence.end())
      ++Known->Count;
    else
      Batch.Evidence.push_back(
          {.Target = Each.Target, .End = Each.End, .Count = 1});
  }
  if (Batch.Evidence.empty())
    return;
  const host_message Message = std::move(Batch);
  for (const registered_vm &Vm :
       Election.hosts(Services.Settings.DataCenter, Services.Timers.now()))
    if (Vm.Vm != Services.Self.Vm)
      send(Vm.Vm, Message);
}

void hosting_driver::send(const vm_name &Peer, const host_message &Message) {
  sendEncoded(Peer, encodeHostMessage(Message));
}

void hosting_driver::sendEncoded(const vm_name &Peer, bytes_view Encoded) {
  Services.Peers.send(Peer, frame_subject::Hosts, Encoded);
}

void hosting_driver::receive(const peer_hello &Sender, bytes_view Body) {
  const auto Message = decodeHostMessage(Body);
  if (!Message) {
    logError("host-message-refused", Message.error());
    return;
  }
  std::visit([&](const auto &Each) { on(Sender, Each); }, *Message);
}

void hosting_driver::on(const peer_hello &Sender, const host_report &Report) {
  const instant Now = Services.Timers.now();
  Election.heard(Sender.Sender.Vm, Report, Now);
  if (!Report.Demands.empty())
    Demands.heard(Sender.Sender.Vm, Report.Demands, Now);
}

void hosting_driver::on(const peer_hello &Sender,
                        const data_center_report &Report) {
  const data_center_name &Own = Services.Settings.DataCenter;
  if (Report.DataCenter == Own)
    return;
  const instant Now = Services.Timers.now();
  Election.heard(Report, Now);
  Demands.heard(Report, Now);
  if (Sender.DataCenter != Own)
    passOn(Report);
}

void hosting_driver::on(const peer_hello & /*Sender*/,
                        const evidence_batch &Batch) {
  std::vector<attempt_observation> Learned;
  for (const attempt_tally &Each : Batch.Evidence)
    for (unsigned Count = 0; Count < Each.Count; ++Count)
      Learned.push_back({.Target = Each.Target, .End = Each.End});
  for (const auto &Worker : Services.Workers)
    Worker->learn(Learned);
}

} // namespace peridot
