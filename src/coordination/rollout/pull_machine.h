/// \file
/// Fetches a higher configuration from a peer: its manifest, then the documents
/// that are missing here, some at a time.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "state/base/types/instant.h"
#include "state/configuration/types/configuration_manifest.h"

namespace peridot {

struct pull_options {
  /// A peer that brings nothing for this long is given up.
  duration PeerTimeout = std::chrono::seconds(1);
  /// Documents that are asked for at once.
  std::size_t BatchSize = 32;
};

/// A peer holds a higher revision than this VM.
struct higher_revision_heard {
  vm_name Peer;
  instant Now;
};

struct manifest_arrived {
  vm_name Peer;
  configuration_manifest Manifest;
  instant Now;
};

/// A document was verified and stored here.
struct document_arrived {
  std::string Digest;
  instant Now;
};

using pull_event =
    std::variant<higher_revision_heard, manifest_arrived, document_arrived>;

struct pull_nothing {};

struct ask_manifest {
  vm_name Peer;
};

struct ask_documents {
  vm_name Peer;
  std::vector<std::string> Digests;
};

/// All documents of the manifest are here.
struct pull_complete {
  configuration_manifest Manifest;
};

using pull_effect =
    std::variant<pull_nothing, ask_manifest, ask_documents, pull_complete>;

/// Follows one pull at a time.
class pull_machine {
public:
  explicit pull_machine(pull_options Options) : Options(Options) {}

  pull_effect handle(const pull_event &Event);

  /// Notes a document that came from elsewhere.
  void addHeld(std::string Digest) { Held.insert(std::move(Digest)); }
  /// Forgets the documents that \p Manifest does not name.
  void keepOnly(const configuration_manifest &Manifest);
  /// True when a peer was asked and brings nothing.
  bool isStalled(instant Now) const;
  /// Ends the pull, for example because the platform brought the revision.
  void finish() { Running.reset(); }

private:
  struct running_pull {
    vm_name Peer;
    instant LastProgress;
    std::optional<configuration_manifest> Manifest;
    std::set<std::string> Asked;
  };

  pull_effect accept(const higher_revision_heard &Event);
  pull_effect accept(const manifest_arrived &Event);
  pull_effect accept(const document_arrived &Event);
  pull_effect nextBatch();

  pull_options Options;
  std::set<std::string> Held;
  std::optional<running_pull> Running;
};

} // namespace peridot
