/// \file
/// Fetches a configuration of a higher revision from a peer: first its
/// manifest, then the missing documents in batches.
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
  /// Time without progress after which another peer may be tried.
  duration PeerTimeout = std::chrono::seconds(1);
  /// Maximum number of documents in one request.
  std::size_t BatchSize = 32;
};

/// A peer reported a higher revision than the one in force on this VM.
struct higher_revision_reported {
  vm_name Peer;
  instant Now;
};

struct manifest_received {
  vm_name Peer;
  configuration_manifest Manifest;
  instant Now;
};

/// A document was verified and stored on this VM.
struct document_stored {
  std::string Digest;
  instant Now;
};

using pull_event =
    std::variant<higher_revision_reported, manifest_received, document_stored>;

struct pull_nothing {};

struct request_manifest {
  vm_name Peer;
};

struct request_documents {
  vm_name Peer;
  std::vector<std::string> Digests;
};

/// All documents of the manifest are stored on this VM.
struct pull_complete {
  configuration_manifest Manifest;
};

using pull_effect = std::variant<pull_nothing, request_manifest,
                                 request_documents, pull_complete>;

/// Runs one pull at a time.
class pull_machine {
public:
  explicit pull_machine(pull_options Options) : Options(Options) {}

  pull_effect handle(const pull_event &Event);

  /// Adds a stored document that was not received through a pull.
  void addHeld(std::string Digest) { Held.insert(std::move(Digest)); }
  /// Drops the documents that \p Manifest does not list.
  void keepOnly(const configuration_manifest &Manifest);
  /// Returns whether the active pull made no progress for the peer timeout.
  bool isStalled(instant Now) const;
  /// Ends the active pull, for example because the revision was loaded from
  /// the platform.
  void finish() { ActivePull.reset(); }

private:
  struct active_pull {
    vm_name Peer;
    instant LastProgress;
    std::optional<configuration_manifest> Manifest;
    std::set<std::string> Requested;
  };

  pull_effect accept(const higher_revision_reported &Event);
  pull_effect accept(const manifest_received &Event);
  pull_effect accept(const document_stored &Event);
  pull_effect nextBatch();

  pull_options Options;
  std::set<std::string> Held;
  std::optional<active_pull> ActivePull;
};

} // namespace peridot
