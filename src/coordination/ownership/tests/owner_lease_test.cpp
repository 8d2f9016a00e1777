#include "coordination/ownership/owner_lease.h"

#include <doctest/doctest.h>

#include "coordination/ownership/ownership_machine.h"

using namespace peridot;
using namespace std::chrono_literals;

namespace {

/// An owner whose witnesses are simulated by the test.
struct owner_fixture {
  const vm_incarnation Self{vm_name("owner"), {1}};
  std::vector<member> Members;
  ownership_machine Machine{{.Self = Self}};
  instant Now{1h};
  std::uint64_t LastSequence = 0;
  std::vector<write_shard_map> Writes;
  int LeaseLostCount = 0;

  owner_fixture() {
    Members.push_back({Self.Vm, data_center_name("a"), {}});
    for (const char *Name : {"w1", "w2", "w3", "w4"})
      Members.push_back({vm_name(Name), data_center_name(Name), {}});
    Members.back().Leaving = true;
    deliver(member_list_updated{Members});
    shard_map Map;
    for (auto &Row : Map.Shards)
      Row = shard_ownership{witness("w1"), {1}, {}};
    Map.Shards[0] = shard_ownership{
        Self, {1}, {witness("w1"), witness("w2"), witness("w3")}};
    deliver(shard_map_read{1, Map});
  }

  static vm_incarnation witness(const char *Name) {
    return {vm_name(Name), {9}};
  }

  void deliver(const ownership_event &Event) {
    for (const ownership_effect &Effect : Machine.handle(Event, Now)) {
      if (const auto *Write = std::get_if<write_shard_map>(&Effect))
        Writes.push_back(*Write);
      LeaseLostCount += std::holds_alternative<lease_lost>(Effect) ? 1 : 0;
      const auto *Send = std::get_if<send_lease_message>(&Effect);
      if (Send && std::holds_alternative<lease_request>(Send->Message))
        LastSequence = std::get<lease_request>(Send->Message).Sequence;
    }
  }

  void confirmFrom(std::initializer_list<const char *> Names) {
    for (const char *Name : Names)
      deliver(lease_message_received{witness(Name),
                                     lease_response{LastSequence, true}});
  }

  /// Ticks for \p Length while the named witnesses confirm each request.
  void run(duration Length, std::initializer_list<const char *> Names) {
    for (const instant End = Now + Length; Now < End; Now += 500ms) {
      deliver(lease_tick{});
      confirmFrom(Names);
    }
  }

  bool canAct() const { return Machine.mayAct({0}, Now); }
};

} // namespace

TEST_CASE("expiresAt_twoOfThreeConfirmed_countsFromRequest") {
  owner_lease Lease({});
  const witness_set Witnesses = {owner_fixture::witness("w1"),
                                 owner_fixture::witness("w2"),
                                 owner_fixture::witness("w3")};
  const instant SentAt{1h};
  const std::uint64_t Sequence = Lease.startRequest(SentAt);
  Lease.recordConfirmation(Witnesses[0], Sequence);
  CHECK(Lease.expiresAt(Witnesses, SentAt) == instant{});
  // A confirmation by an earlier incarnation of a witness does not count.
  Lease.recordConfirmation({vm_name("w2"), {8}}, Sequence);
  CHECK(Lease.expiresAt(Witnesses, SentAt) == instant{});
  Lease.recordConfirmation(Witnesses[1], Sequence);
  CHECK(Lease.expiresAt(Witnesses, SentAt) ==
        SentAt + lease_options{}.validityLength());
}

TEST_CASE_FIXTURE(owner_fixture, "owner_quorumLost_stopsActing") {
  CHECK_FALSE(canAct());
  run(4s, {"w1", "w2"});
  CHECK(canAct());
  run(8s, {"w2"});
  CHECK_FALSE(canAct());
}

TEST_CASE_FIXTURE(owner_fixture,
                  "owner_pausedPastLease_stopsActingBeforeAnyEvent") {
  run(4s, {"w1", "w2", "w3"});
  Now += 6s;
  CHECK_FALSE(canAct());
}

TEST_CASE_FIXTURE(owner_fixture,
                  "owner_pausedThenNewMapRead_reportsLeaseLost") {
  run(4s, {"w1", "w2", "w3"});
  Now += 7s;
  shard_map Taken;
  for (auto &Row : Taken.Shards)
    Row = shard_ownership{witness("w1"), {2}, {}};
  deliver(shard_map_read{9, Taken});
  deliver(lease_tick{});
  CHECK(LeaseLostCount == 1);
}

TEST_CASE_FIXTURE(owner_fixture,
                  "owner_witnessWriteUnknown_needsQuorumOfBothSets") {
  run(4s, {"w1", "w2", "w3"});
  Members[1].Leaving = true;
  Members[4].Leaving = false;
  deliver(member_list_updated{Members});
  run(8s, {"w1", "w2", "w3", "w4"});
  REQUIRE(Writes.size() == 1);
  CHECK(Writes[0].Map.Shards[0]->Witnesses ==
        witness_set{witness("w2"), witness("w3"), witness("w4")});
  deliver(shard_map_write_ended{write_outcome::Unknown, 0});
  CHECK(canAct());
  // A quorum of the old witnesses, but not of the set that may be recorded.
  run(8s, {"w1", "w3"});
  CHECK_FALSE(canAct());
  deliver(shard_map_read{2, Writes[0].Map});
  run(4s, {"w3", "w4"});
  CHECK(canAct());
}

TEST_CASE("leaseOptions_clocksDrift4Percent_validityEndsBeforePromise") {
  const lease_options Lease;
  const auto Slowest =
      std::chrono::duration<double>(Lease.validityLength()) / 0.96;
  const auto Fastest =
      std::chrono::duration<double>(Lease.promiseLength()) / 1.04;
  CHECK(Slowest < Fastest);
}
