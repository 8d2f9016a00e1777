#include "transport/node/internal/store_relay.h"

#include <algorithm>

#include "protocol/store_messages/store_codec.h"
#include "transport/logging/event_log.h"
#include "transport/node/internal/store_follower.h"

namespace peridot {

namespace {

constexpr std::chrono::milliseconds TickPeriod{250};
/// A reader reports with every such tick, and when the store is lost or back.
constexpr unsigned ReportTicks = 2;
/// A reader asks the store at least this often, as its watches may be silent
/// because they were cut, and vouches for it this long after the last answer.
constexpr std::chrono::milliseconds RefreshPeriod{750};
constexpr std::chrono::milliseconds VouchingLimit{1'200};
/// Oldest confirmation that a reader gives without reading again.
constexpr std::chrono::milliseconds ReuseLimit{1'000};
/// Time after which an asker reads the store itself.
constexpr std::chrono::milliseconds AnswerLimit{60};

} // namespace

store_relay::store_relay(node_services &Services, store_follower &Follower)
    : Services(Services), Follower(Follower), Election(Services.Self.Vm) {}

void store_relay::start() {
  Services.Peers.subscribe(frame_subject::Store,
                           [this](const peer_hello &Sender, bytes_view Body) {
                             receive(Sender, Body);
                           });
  Timer = Services.Timers.every(TickPeriod, [this](instant Now) { tick(Now); });
}

void store_relay::ranked(std::span<const vm_name> Ranked) {
  Election.ranked(Ranked);
  Neighbours.assign(Ranked.begin(), Ranked.end());
  std::erase(Neighbours, Services.Self.Vm);
  chooseRole(Services.Timers.now());
}

void store_relay::tick(instant Now) {
  chooseRole(Now);
  Follower.setLookPeriod(Election.lookPeriod(Now));
  if (!Reads)
    return;
  // While the store is away the follower looks for it.
  if (Follower.storeAnswers() && Now - Follower.confirmedAt() >= RefreshPeriod)
    readConfirmation();
  if (TicksToReport == 0 || storeAnswers(Now) != ReportedAnswers)
    report(Now);
  --TicksToReport;
}

bool store_relay::storeAnswers(instant Now) const {
  return Follower.storeAnswers() &&
         Now - Follower.confirmedAt() < VouchingLimit;
}

void store_relay::chooseRole(instant Now) {
  const bool Before = Reads;
  Reads = Election.selfReads(Now);
  if (Reads == Before)
    return;
  TicksToReport = 0;
  if (Reads && Election.storeAwayForReaders(Now))
    Follower.storeAwayForOthers();
  Follower.setReading(Reads);
}

void store_relay::report(instant Now) {
  TicksToReport = ReportTicks;
  ReportedAnswers = storeAnswers(Now);
  sendToAll(reader_report{
      .StoreAnswers = ReportedAnswers,
      .ConfigurationPosition =
          Follower.position(fleet_collection::Configuration),
      .TargetsPosition = Follower.position(fleet_collection::Targets)});
}

void store_relay::changesRead(const store_changes &Changes) {
  if (Reads)
    sendToAll(Changes);
}

void store_relay::confirmKeys() {
  if (Question)
    return;
  const instant Now = Services.Timers.now();
  const std::vector<vm_name> Readers = Election.readers(Now);
  if (Reads || Readers.empty()) {
    readConfirmation();
    return;
  }
  Question = open_question{.Number = ++LastNumber, .SentAt = Now};
  send(Readers.front(), confirmation_wanted{.Number = LastNumber});
  QuestionTimer = Services.Timers.once(AnswerLimit, [this](instant) {
    if (std::exchange(Question, std::nullopt))
      readConfirmation();
  });
}

void store_relay::readConfirmation() {
  Follower.confirmKeys([](std::optional<instant>) {});
}

void store_relay::receive(const peer_hello &Sender, bytes_view Body) {
  const auto Message = decodeStoreMessage(Body);
  if (!Message) {
    logError("store-message-refused", Message.error());
    return;
  }
  std::visit([&](const auto &Each) { on(Sender.Sender.Vm, Each); }, *Message);
}

void store_relay::on(const vm_name & /*Sender*/, const store_changes &Changes) {
  Follower.take(Changes);
}

void store_relay::on(const vm_name &Sender, const reader_report &Report) {
  const instant Now = Services.Timers.now();
  const bool WereReaders = !Election.readers(Now).empty();
  Election.heard(Sender, Report, Now);
  if (!WereReaders && Report.StoreAnswers && !Follower.storeAnswers())
    Follower.lookNow();
  if (Report.StoreAnswers) {
    Follower.othersReached(fleet_collection::Configuration,
                           Report.ConfigurationPosition);
    Follower.othersReached(fleet_collection::Targets, Report.TargetsPosition);
  }
  chooseRole(Now);
}

void store_relay::on(const vm_name &Sender, const confirmation_wanted &Wanted) {
  const instant ConfirmedAt = Follower.confirmedAt();
  if (Services.Timers.now() - ConfirmedAt < ReuseLimit) {
    give(Sender, Wanted.Number, ConfirmedAt);
    return;
  }
  Follower.confirmKeys(
      [this, Sender, Number = Wanted.Number](std::optional<instant> StartedAt) {
        if (StartedAt)
          give(Sender, Number, *StartedAt);
      });
}

void store_relay::give(const vm_name &Asker, std::uint64_t Number,
                       instant StartedAt) {
  send(Asker,
       confirmation_given{.Number = Number,
                          .Age = std::chrono::ceil<std::chrono::milliseconds>(
                              Services.Timers.now() - StartedAt),
                          .Revision = revisionInForce(),
                          .TargetsPosition =
                              Follower.position(fleet_collection::Targets)});
}

void store_relay::on(const vm_name & /*Sender*/,
                     const confirmation_given &Given) {
  if (!Question || Question->Number != Given.Number)
    return;
  const instant SentAt = Question->SentAt;
  Question.reset();
  Follower.othersReached(fleet_collection::Targets, Given.TargetsPosition);
  // Counted from the sending, so that a slow journey only makes it older.
  if (Given.Revision <= revisionInForce())
    Follower.keysConfirmed(SentAt - Given.Age);
  else
    readConfirmation();
}

std::uint64_t store_relay::revisionInForce() const {
  const configuration_ptr &InForce = Services.Snapshots.current().Configuration;
  return InForce ? InForce->configuration().Revision.Value : 0;
}

void store_relay::send(const vm_name &Peer, const store_message &Message) {
  Services.Peers.send(Peer, frame_subject::Store, encodeStoreMessage(Message));
}

void store_relay::sendToAll(const store_message &Message) {
  const auto Bytes = encodeStoreMessage(Message);
  for (const vm_name &Each : Neighbours)
    Services.Peers.send(Each, frame_subject::Store, Bytes);
}

} // namespace peridot
