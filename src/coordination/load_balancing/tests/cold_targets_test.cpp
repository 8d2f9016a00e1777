#include "coordination/load_balancing/cold_targets.h"

#include <algorithm>
#include <deque>
#include <thread>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

constexpr double Rate = 4.9;
constexpr double MaxPerSecond = Rate * 1.5 + 8;

/// VMs of one data centre before targets of a service that declares its rate.
struct cold_targets_fixture {
  cold_targets_fixture() { addVms(1); }

  void addVms(std::size_t Count) {
    const service Service{.Name = service_name("huvo"),
                          .WarmUp = 3s,
                          .WarmUpRequestsPerSecond = Rate};
    for (std::size_t Each = 0; Each < Count; ++Each) {
      Names.emplace_back("vm-" + std::to_string(Names.size()));
      Vms.emplace_back(Names.back(), data_center_name("lakes-a"));
      Vms.back().setServices(std::span(&Service, 1), Now);
      Vms.back().list({}, Now);
    }
    setHosts();
  }

  /// Lets all VMs list all of them.
  void setHosts() {
    for (cold_targets &Each : Vms)
      Each.setHosts({.Hosts = Names, .RegisteredVms = Names.size()}, Now);
  }

  static registered_target entry(const std::string &Name,
                                 std::chrono::milliseconds Left,
                                 std::int64_t StartedAt = 1) {
    return {.Target = {.Name = target_name(Name),
                       .DataCenter = data_center_name("lakes-a")},
            .Service = service_name("huvo"),
            .RemainingWarmUp = Left,
            .StartedAt = StartedAt};
  }

  void update(const registered_target &Entry) {
    for (cold_targets &Each : Vms)
      Each.update(Entry, Now);
  }

  /// Lets all VMs take tokens as often as they can, at the current time.
  unsigned takeAll(const target_name &Target) {
    unsigned Count = 0;
    for (cold_targets &Each : Vms)
      while (Each.take(Target, Now) == cold_admission::Taken)
        ++Count;
    return Count;
  }

  /// Lets all VMs send whatever they may for \p Length.
  unsigned send(const target_name &Target, duration Length) {
    unsigned Count = 0;
    for (const instant End = Now + Length; Now < End; Now += 20ms) {
      if ((Now - instant{}) % 500ms == 0ms)
        setHosts();
      Count += takeAll(Target);
    }
    return Count;
  }

  bool isCold(const std::string &Name) {
    return Vms.front().take(target_name(Name), Now) != cold_admission::Warm;
  }

  std::size_t closedCount(bool IsRepeatable) {
    return Vms.front()
        .choiceFor(service_name("huvo"), IsRepeatable, Now)
        .Closed.size();
  }

  instant Now{100s};
  std::vector<vm_name> Names;
  std::deque<cold_targets> Vms;
  const target_name Target{"i-1"};
};

} // namespace

// Guards against a limit of services that declare none.
TEST_CASE_FIXTURE(cold_targets_fixture, "take_serviceWithoutRate_warm") {
  registered_target Other = entry("i-1", 3s);
  Other.Service = service_name("other");
  update(Other);
  CHECK(!isCold("i-1"));
  CHECK(Vms.front().choiceFor(Other.Service, true, Now).Closed.empty());
}

// Guards against several senders, and against a target that gets nothing.
TEST_CASE_FIXTURE(cold_targets_fixture, "take_sameHosts_halfOfRateByOneVm") {
  addVms(11);
  for (const char *Name : {"i-1", "i-2", "i-3"}) {
    update(entry(Name, 20s));
    const unsigned Sent = send(target_name(Name), 4s);
    CHECK(Sent >= 8);
    CHECK(Sent <= 11);
  }
}

// A new sender may follow one that has just sent.
TEST_CASE_FIXTURE(cold_targets_fixture, "take_newSender_startsWithoutToken") {
  update(entry("i-1", 20s));
  CHECK(takeAll(Target) == 0);
  Now += 500ms;
  CHECK(takeAll(Target) == 1);
}

// Guards against VMs that were frozen, or are cut off from all others.
TEST_CASE_FIXTURE(cold_targets_fixture, "take_hostsUnknown_closed") {
  update(entry("i-1", 20s));
  Now += 5s;
  CHECK(takeAll(Target) == 0);
  CHECK(closedCount(true) == 1);
  Vms.front().setHosts({.Hosts = Names, .RegisteredVms = 4}, Now);
  Now += 1s;
  CHECK(takeAll(Target) == 0);
  Vms.front().setHosts({.Hosts = Names, .RegisteredVms = 3}, Now);
  Now += 1s;
  CHECK(takeAll(Target) == 1);
}

TEST_CASE_FIXTURE(cold_targets_fixture, "take_otherDataCentre_closed") {
  registered_target Remote = entry("i-1", 20s);
  Remote.Target.DataCenter = data_center_name("lakes-b");
  update(Remote);
  CHECK(send(Target, 3s) == 0);
  CHECK(isCold("i-1"));
}

// Guards against more senders than the target bears while the data centre falls
// apart into groups of VMs that see only each other, over and over.
TEST_CASE_FIXTURE(cold_targets_fixture, "take_changingGroups_withinBound") {
  CHECK(rc::check([] {
    cold_targets_fixture Fleet;
    Fleet.addVms(8);
    Fleet.update(entry("i-1", 20s));
    std::vector<instant> Sent;
    for (int Step = 0; Step < 24; ++Step) {
      const auto Groups = *rc::gen::container<std::vector<int>>(
          9, rc::gen::inRange(0, *rc::gen::inRange(1, 9)));
      for (std::size_t Each = 0; Each < 9; ++Each) {
        std::vector<vm_name> Seen;
        for (std::size_t Other = 0; Other < 9; ++Other)
          if (Groups[Other] == Groups[Each])
            Seen.push_back(Fleet.Names[Other]);
        Fleet.Vms[Each].setHosts({.Hosts = Seen, .RegisteredVms = 9},
                                 Fleet.Now);
      }
      for (int Part = 0; Part < 25; ++Part, Fleet.Now += 20ms)
        Sent.insert(Sent.end(), Fleet.takeAll(Fleet.Target), Fleet.Now);
    }
    for (auto First = Sent.begin(); First != Sent.end(); ++First) {
      const auto End = std::ranges::upper_bound(First, Sent.end(), *First + 1s);
      RC_ASSERT(static_cast<double>(End - First) <= MaxPerSecond);
    }
  }));
}

// Guards against targets that fail because nothing says yet that they are cold.
TEST_CASE_FIXTURE(cold_targets_fixture, "update_newProcess_coldForWarmUp") {
  update(entry("i-1", 0s));
  CHECK(isCold("i-1"));
  Now += 3s;
  CHECK(!isCold("i-1"));
  update(entry("i-1", 0s, 2));
  CHECK(isCold("i-1"));
  Now += 3s;
  // It lost its entry and wrote it again.
  Vms.front().remove(Target, Now);
  update(entry("i-1", 0s, 2));
  CHECK(!isCold("i-1"));
}

// A VM that starts would otherwise send to no target for the warm-up.
TEST_CASE_FIXTURE(cold_targets_fixture, "list_firstList_notNew") {
  cold_targets Vm(Names.front(), data_center_name("lakes-a"));
  const service Service{.Name = service_name("huvo"),
                        .WarmUp = 3s,
                        .WarmUpRequestsPerSecond = Rate};
  const std::vector Listed{entry("i-1", 0s), entry("i-2", 1s)};
  Vm.list(Listed, Now);
  Vm.setServices(std::span(&Service, 1), Now);
  CHECK(Vm.take(Target, Now) == cold_admission::Warm);
  CHECK(Vm.take(target_name("i-2"), Now) == cold_admission::Closed);
  const std::vector Next{entry("i-1", 0s), entry("i-3", 0s)};
  Vm.list(Next, Now);
  CHECK(Vm.take(Target, Now) == cold_admission::Warm);
  CHECK(Vm.take(target_name("i-3"), Now) == cold_admission::Closed);
}

// Guards against an older state of the entry, and against a time that never
// ends.
TEST_CASE_FIXTURE(cold_targets_fixture, "update_changedTime_neverEndsEarlier") {
  update(entry("i-1", 0s));
  Now += 5s;
  update(entry("i-1", 2s));
  update(entry("i-1", 0s));
  Now += 2s;
  CHECK(isCold("i-1"));
  Now += 300ms;
  CHECK(!isCold("i-1"));
  update(entry("i-1", std::chrono::milliseconds::max()));
  Now += 61s;
  CHECK(!isCold("i-1"));
}

// Guards against targets that are warm before they were found.
TEST_CASE_FIXTURE(cold_targets_fixture, "choiceFor_allCold_eachGetsRequests") {
  addVms(5);
  for (int Each = 0; Each < 40; ++Each)
    update(entry("i-" + std::to_string(Each), 3s));
  unsigned Sent = 0;
  for (int Step = 0; Step < 6; ++Step, Now += 500ms) {
    setHosts();
    for (cold_targets &Vm : Vms)
      for (const target_name &Due :
           Vm.choiceFor(service_name("huvo"), true, Now).Due)
        Sent += Vm.take(Due, Now) == cold_admission::Taken ? 1 : 0;
  }
  CHECK(Sent >= 40);
}

// A cold target may fail, which an unrepeatable request does not survive.
TEST_CASE_FIXTURE(cold_targets_fixture,
                  "choiceFor_unrepeatable_leavesTokensToRepeatable") {
  update(entry("i-1", 20s));
  Now += 900ms;
  CHECK(closedCount(true) == 0);
  CHECK(closedCount(false) == 1);
  Now += 200ms;
  CHECK(closedCount(false) == 0);
  setHosts();
  Now += 1s;
  CHECK(Vms.front().choiceFor(service_name("huvo"), false, Now).Due.size() ==
        1);
}

// Guards against requests that were chosen earlier and reach a cold target
// without being counted, or many at once.
TEST_CASE_FIXTURE(cold_targets_fixture, "maySend_withoutRecentToken_no") {
  CHECK(Vms.front().maySend(Target, std::nullopt, Now));
  update(entry("i-1", 20s));
  CHECK(!Vms.front().maySend(Target, std::nullopt, Now));
  Now += 500ms;
  REQUIRE(Vms.front().take(Target, Now) == cold_admission::Taken);
  const instant TakenAt = Now;
  Now += 90ms;
  CHECK(Vms.front().maySend(Target, TakenAt, Now));
  Now += 10ms;
  CHECK(!Vms.front().maySend(Target, TakenAt, Now));
  Now += 400ms;
  CHECK(Vms.front().maySend(Target, TakenAt, Now));
  CHECK(takeAll(Target) == 0);
}

// Guards against a token that several traffic threads use.
TEST_CASE_FIXTURE(cold_targets_fixture, "take_severalThreads_shareTokens") {
  update(entry("i-1", 20s));
  Now += 1s;
  std::atomic<unsigned> Taken{0};
  {
    std::vector<std::jthread> Threads;
    for (int Each = 0; Each < 4; ++Each)
      Threads.emplace_back([&] { Taken += takeAll(Target); });
  }
  CHECK(Taken == 1);
}

// Guards against a queue that counts slots which cold targets do not have.
TEST_CASE_FIXTURE(cold_targets_fixture, "usableSlots_cold_whatItBears") {
  const registered_target Entry = entry("i-1", 20s);
  const auto Slots = [&](duration Latency) {
    return Vms.front().usableSlots(Entry.Target, Latency, Now);
  };
  CHECK(Slots(200ms) == 3);
  update(Entry);
  CHECK(Slots(200ms) == doctest::Approx(0.98));
  CHECK(Slots(5s) == 3);
  CHECK(Slots(0s) == 1);
}

TEST_CASE_FIXTURE(cold_targets_fixture, "takeChanges_coldThenWarm_eachOnce") {
  update(entry("i-1", 1s));
  const auto Cold = Vms.front().takeChanges(Now);
  REQUIRE(Cold.size() == 1);
  CHECK(Cold.front().IsCold);
  CHECK(Cold.front().IsSender);
  CHECK(Vms.front().takeChanges(Now).empty());
  Now += 3s;
  const auto Warm = Vms.front().takeChanges(Now);
  REQUIRE(Warm.size() == 1);
  CHECK(!Warm.front().IsCold);
}
