#include <doctest/doctest.h>

#include "coordination/ownership/ownership_machine.h"

using namespace peridot;
using namespace std::chrono_literals;

namespace {

/// A VM that has not read the shard map yet, and a peer that has read it.
struct map_copy_fixture {
  const vm_incarnation Self{vm_name("started"), {5}};
  const vm_incarnation Peer{vm_name("peer"), {2}};
  ownership_machine Machine{{.Self = Self}};
  ownership_machine PeerMachine{{.Self = Peer}};
  instant Now{1h};
  shard_map Map;

  map_copy_fixture() {
    for (auto &Row : Map.Shards)
      Row = shard_ownership{Peer, {4}, {{vm_name("earlier"), {1}}}};
    const std::vector<member> Members = {{Self.Vm, data_center_name("a"), {}},
                                         {Peer.Vm, data_center_name("b"), {}}};
    Machine.handle(member_list_updated{Members}, Now);
    PeerMachine.handle(member_list_updated{Members}, Now);
    PeerMachine.handle(shard_map_read{7, Map}, Now);
  }

  /// Delivers the messages of one VM to the other one, and its responses.
  void deliver(const ownership_machine::effects &Effects, bool FromSelf) {
    for (const ownership_effect &Effect : Effects) {
      const auto *Sent = std::get_if<send_lease_message>(&Effect);
      if (!Sent || Sent->Peer != (FromSelf ? Peer.Vm : Self.Vm))
        continue;
      ownership_machine &Other = FromSelf ? PeerMachine : Machine;
      deliver(Other.handle(
                  lease_message_received{FromSelf ? Self : Peer, Sent->Message},
                  Now),
              !FromSelf);
    }
  }

  void tick() { deliver(Machine.handle(lease_tick{}, Now), true); }
};

} // namespace

TEST_CASE_FIXTURE(map_copy_fixture, "vm_mapNotRead_showsPeerCopy") {
  tick();
  CHECK(Machine.map() == Map);
  CHECK(Machine.knownMapVersion() == 7);
}

TEST_CASE_FIXTURE(map_copy_fixture, "vm_onlyPeerCopyReceived_writesNothing") {
  tick();
  CHECK(Machine.mapVersion() == 0);
  Now += 10s;
  for (const ownership_effect &Effect : Machine.handle(lease_tick{}, Now))
    CHECK_FALSE(std::holds_alternative<write_shard_map>(Effect));
}

TEST_CASE_FIXTURE(map_copy_fixture, "vm_mapRead_ignoresPeerCopy") {
  Machine.handle(shard_map_read{6, {}}, Now);
  Machine.handle(lease_message_received{Peer, map_response{7, Map}}, Now);
  CHECK(Machine.map() == shard_map{});
  CHECK(Machine.knownMapVersion() == 6);
}

TEST_CASE_FIXTURE(map_copy_fixture, "peer_mapNotRead_sendsNoCopy") {
  PeerMachine = ownership_machine({.Self = Peer});
  tick();
  CHECK(Machine.knownMapVersion() == 0);
}
