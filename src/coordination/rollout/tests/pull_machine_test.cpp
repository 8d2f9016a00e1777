#include "coordination/rollout/pull_machine.h"

#include <doctest/doctest.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

struct pull_fixture {
  pull_machine Pull{{.PeerTimeout = 1s, .BatchSize = 2}};
  instant Now = instant{} + 100s;
  vm_name Peer{"vm-1"};
  configuration_manifest Manifest{
      .Revision = {5},
      .Documents = {{.Digest = "a"}, {.Digest = "b"}, {.Digest = "c"}}};

  pull_effect reportRevision(const vm_name &Vm, instant At) {
    return Pull.handle(higher_revision_reported{Vm, At});
  }
};

} // namespace

TEST_CASE_FIXTURE(pull_fixture, "handle_missingDocuments_requestedInBatches") {
  CHECK(std::holds_alternative<request_manifest>(reportRevision(Peer, Now)));
  Pull.addHeld("b");
  auto Effect = Pull.handle(manifest_received{Peer, Manifest, Now});
  CHECK(std::get<request_documents>(Effect).Digests ==
        std::vector<std::string>{"a", "c"});
  Effect = Pull.handle(document_stored{"a", Now});
  CHECK(std::holds_alternative<pull_nothing>(Effect));
  Effect = Pull.handle(document_stored{"c", Now});
  CHECK(std::get<pull_complete>(Effect).Manifest == Manifest);
}

TEST_CASE_FIXTURE(pull_fixture, "handle_silentPeer_nextPeerRequested") {
  reportRevision(Peer, Now);
  const vm_name Other("vm-2");
  CHECK(std::holds_alternative<pull_nothing>(reportRevision(Other, Now + 1s)));
  CHECK(Pull.isStalled(Now + 1001ms));
  CHECK(std::get<request_manifest>(reportRevision(Other, Now + 1001ms)).Peer ==
        Other);
  CHECK(std::holds_alternative<pull_nothing>(
      Pull.handle(manifest_received{Peer, Manifest, Now + 1001ms})));
}
