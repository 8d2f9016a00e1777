/// \file
/// Stores the documents of the configuration in force, to serve them to peers,
/// and assembles new configurations from documents.
#pragma once

#include <unordered_map>

#include "coordination/rollout/rollout_machine.h"
#include "transport/node/control_context.h"

namespace peridot {

/// Runs on the control thread.
class rollout_store {
public:
  explicit rollout_store(control_context &Context) : Context(Context) {}

  /// Stores \p Json; returns false if its digest is not \p Digest.
  bool add(const std::string &Digest, std::string Json);
  /// Returns a document's JSON, or nullptr if it is not stored.
  const std::string *find(const std::string &Digest) const;

  /// Puts the configuration of \p Manifest in force if its revision is higher.
  /// Fails if one of its documents is not stored.
  result<void> accept(const configuration_manifest &Manifest);

  revision inForce() const { return Machine.inForce(); }
  const configuration_manifest &manifest() const { return Manifest; }

private:
  void recordAccepted() const;
  /// Drops documents that the manifest in force does not name.
  void dropUnreferenced();

  control_context &Context;
  rollout_machine Machine;
  configuration_manifest Manifest;
  std::unordered_map<std::string, std::string> Documents;
};

} // namespace peridot
