#include "soak/fault_schedule.h"

#include <array>
#include <iostream>
#include <thread>

namespace peridot::test {

namespace {

using steady = std::chrono::steady_clock;

constexpr std::array LinkFaults = {
    "forward_cut=1&backward_cut=1", "forward_cut=1", "backward_cut=1",
    "backward_delay_ms=150", "backward_truncate_at=300"};
constexpr std::array TargetFaults = {"fail_percent=80", "drop_percent=50",
                                     "shed=1", "slow_percent=60&slow_ms=400",
                                     "silent_percent=30"};
constexpr std::array PlatformFaults = {
    "down=1", "silent=1", "delay_ms=200",   "lose_answers=3",
    "deaf=1", "forget=1", "deaf=1&forget=1"};

/// Whether a link fault is a cut: a delay is none.
bool losesBytes(const std::string &LinkFault) {
  return LinkFault.find("delay") == std::string::npos;
}

} // namespace

fault_schedule::fault_schedule(store_fleet &Fleet, unsigned Seed)
    : Fleet(Fleet), Random(Seed),
      Announcer(Fleet, Seed, [this](const std::string &Event) { log(Event); }),
      IsNodeDown(Fleet.Nodes.size()), Start(steady::now()) {}

std::vector<store_account> fault_schedule::accounts() const {
  const bool IsKeyRevoked = KeyRevokedAt != time_point::max();
  return {{"keepers", {"keeper-key"}, 60, 30},
          {"crews", {IsKeyRevoked ? "crew-key-2" : "crew-key"}, 60, 30}};
}

void fault_schedule::log(const std::string &Event) const {
  const std::chrono::duration<double> Time = steady::now() - Start;
  std::cout << "  " << Time.count() << " s " << Event << std::endl;
}

void fault_schedule::scheduleEnd(std::chrono::milliseconds After,
                                 std::function<void()> End) {
  PendingEnds.emplace(steady::now() + After, std::move(End));
}

std::size_t fault_schedule::beginInterruption(interruption_kind Kind,
                                              const store_node &Node,
                                              const std::string &Target) {
  Interruptions.push_back({.Kind = Kind,
                           .CallerPort = Node.Node.CallerPort,
                           .Target = Target,
                           .From = steady::now(),
                           .Until = time_point::max()});
  return Interruptions.size() - 1;
}

void fault_schedule::endInterruption(std::size_t Number) {
  Interruptions[Number].Until = steady::now();
}

std::vector<std::size_t>
fault_schedule::beginCutOfAll(const store_target &Target) {
  std::vector<std::size_t> Cuts;
  for (const auto &Node : Fleet.Nodes)
    Cuts.push_back(
        beginInterruption(interruption_kind::Cut, *Node, Target.Target.Name));
  return Cuts;
}

void fault_schedule::endInterruptions(std::span<const std::size_t> Numbers) {
  for (const std::size_t Each : Numbers)
    endInterruption(Each);
}

void fault_schedule::run(std::chrono::seconds Time) {
  const time_point Deadline = steady::now() + Time;
  time_point Next = steady::now();
  while (steady::now() < Deadline) {
    if (steady::now() >= Next) {
      injectRandomFault();
      Next = steady::now() + randomDelay(100, 700);
    }
    Announcer.advance(steady::now());
    while (!PendingEnds.empty() && PendingEnds.begin()->first <= steady::now())
      PendingEnds.extract(PendingEnds.begin()).mapped()();
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  while (!PendingEnds.empty())
    PendingEnds.extract(PendingEnds.begin()).mapped()();
  Announcer.endAll();
}

void fault_schedule::injectRandomFault() {
  constexpr std::array<void (fault_schedule::*)(), 9> Kinds = {
      &fault_schedule::killNode,
      &fault_schedule::stopNode,
      &fault_schedule::pauseNode,
      &fault_schedule::injectPlatformLinkFault,
      &fault_schedule::injectTargetFault,
      &fault_schedule::injectPlatformFault,
      &fault_schedule::changeConfiguration,
      &fault_schedule::revokeKey,
      &fault_schedule::drainTarget};
  (this->*Kinds[randomBelow(Kinds.size())])();
}

void fault_schedule::killNode() {
  const std::size_t Chosen = randomBelow(IsNodeDown.size());
  if (IsNodeDown[Chosen])
    return;
  IsNodeDown[Chosen] = true;
  store_node &Node = *Fleet.Nodes[Chosen];
  log("kills " + Node.Node.Name);
  const std::size_t Interruption =
      beginInterruption(interruption_kind::Restart, Node);
  Node.Node.Process->signal(SIGKILL);
  scheduleEnd(randomDelay(50, 1'500), [this, Chosen, Interruption, &Node] {
    Fleet.restart(Node);
    endInterruption(Interruption);
    IsNodeDown[Chosen] = false;
  });
}

void fault_schedule::stopNode() {
  const std::size_t Chosen = randomBelow(IsNodeDown.size());
  if (IsNodeDown[Chosen])
    return;
  IsNodeDown[Chosen] = true;
  store_node &Node = *Fleet.Nodes[Chosen];
  log("stops " + Node.Node.Name);
  const std::size_t Interruption =
      beginInterruption(interruption_kind::Restart, Node);
  Node.Node.Process->signal(SIGTERM);
  scheduleEnd(randomDelay(100, 4'000), [this, Chosen, Interruption, &Node] {
    Node.Node.Process->awaitExit();
    Fleet.restart(Node);
    endInterruption(Interruption);
    IsNodeDown[Chosen] = false;
  });
}

void fault_schedule::pauseNode() {
  const std::size_t Chosen = randomBelow(IsNodeDown.size());
  if (IsNodeDown[Chosen])
    return;
  IsNodeDown[Chosen] = true;
  store_node &Node = *Fleet.Nodes[Chosen];
  log("pauses " + Node.Node.Name);
  const std::size_t Interruption =
      beginInterruption(interruption_kind::Freeze, Node);
  Node.Node.Process->signal(SIGSTOP);
  scheduleEnd(randomDelay(200, 6'000), [this, Chosen, Interruption, &Node] {
    Node.Node.Process->signal(SIGCONT);
    endInterruption(Interruption);
    IsNodeDown[Chosen] = false;
  });
}

void fault_schedule::injectPlatformLinkFault() {
  store_node &Node = *Fleet.Nodes[randomBelow(Fleet.Nodes.size())];
  const std::size_t Kind = randomBelow(LinkFaults.size() + 1);
  if (Kind == LinkFaults.size()) {
    log("discards the state of connections from " + Node.Node.Name +
        " to the platform");
    const std::size_t Cut = beginInterruption(interruption_kind::Cut, Node);
    Node.Proxy->forgetConnections();
    endInterruption(Cut);
    return;
  }
  log("link from " + Node.Node.Name + " to the platform: " + LinkFaults[Kind]);
  std::vector<std::size_t> Cuts;
  if (losesBytes(LinkFaults[Kind]))
    Cuts.push_back(beginInterruption(interruption_kind::Cut, Node));
  Node.Proxy->setFaults(LinkFaults[Kind]);
  scheduleEnd(randomDelay(200, 3'000), [this, Cuts, &Node] {
    Node.Proxy->setFaults("");
    endInterruptions(Cuts);
  });
}

void fault_schedule::injectTargetFault() {
  store_target &Target = *Fleet.Targets[randomBelow(Fleet.Targets.size())];
  const std::size_t Kind =
      randomBelow(LinkFaults.size() + TargetFaults.size() + 1);
  if (Kind < LinkFaults.size()) {
    breakTargetLink(Target, LinkFaults[Kind]);
  } else if (Kind < LinkFaults.size() + TargetFaults.size()) {
    const std::string Fault = TargetFaults[Kind - LinkFaults.size()];
    log(Target.Target.Name + ": " + Fault);
    Target.Target.setBehaviour(Fault);
    scheduleEnd(randomDelay(200, 2'000),
                [&Target] { Target.Target.setBehaviour(""); });
  } else {
    forgetTargetConnections(Target);
  }
}

void fault_schedule::breakTargetLink(store_target &Target,
                                     const std::string &Fault) {
  log("link to " + Target.Target.Name + ": " + Fault);
  const std::vector<std::size_t> Cuts =
      losesBytes(Fault) ? beginCutOfAll(Target) : std::vector<std::size_t>();
  Target.Proxy->setFaults(Fault);
  scheduleEnd(randomDelay(200, 2'000), [this, Cuts, &Target] {
    Target.Proxy->setFaults("");
    endInterruptions(Cuts);
  });
}

void fault_schedule::forgetTargetConnections(store_target &Target) {
  log("discards the state of connections to " + Target.Target.Name);
  const std::vector<std::size_t> Cuts = beginCutOfAll(Target);
  Target.Proxy->forgetConnections();
  endInterruptions(Cuts);
}

void fault_schedule::injectPlatformFault() {
  const std::string Fault = PlatformFaults[randomBelow(PlatformFaults.size())];
  log("platform: " + Fault);
  Fleet.setPlatformFaults(Fault);
  scheduleEnd(randomDelay(200, 3'000), [this] { Fleet.setPlatformFaults(""); });
}

void fault_schedule::changeConfiguration() {
  ++Version;
  log("publishes configuration " + std::to_string(Version));
  Fleet.writeConfiguration(Version, accounts(),
                           Version % 2 == 0 ? "/more/" : "");
}

void fault_schedule::revokeKey() {
  if (KeyRevokedAt != time_point::max())
    return;
  log("revokes the key of crews");
  // accounts() returns the new key once this is set; the time is updated after
  // the write.
  KeyRevokedAt = steady::now();
  Fleet.writeConfiguration(++Version, accounts());
  KeyRevokedAt = steady::now();
}

void fault_schedule::drainTarget() {
  store_target &Target = *Fleet.Targets[randomBelow(Fleet.Targets.size())];
  log(Target.Target.Name + " starts draining");
  Fleet.registerTarget(Target, "draining");
  scheduleEnd(randomDelay(1'000, 3'000),
              [this, &Target] { Fleet.registerTarget(Target); });
}

} // namespace peridot::test
