/// \file
/// The documents of the configuration in force, as bytes that peers may get,
/// and the step from documents to a snapshot.
#pragma once

#include <unordered_map>

#include "coordination/rollout/rollout_machine.h"
#include "transport/node/control_context.h"

namespace peridot {

/// Runs on the control thread.
class rollout_store {
public:
  explicit rollout_store(control_context &Context) : Context(Context) {}

  /// Keeps \p Json if it has \p Digest; false when it is damaged.
  bool add(const std::string &Digest, std::string Json);
  /// Bytes of a document; nullptr when it is not here.
  const std::string *find(const std::string &Digest) const;

  /// Puts the configuration of \p Manifest in force if its revision is higher;
  /// all its documents must be here.
  result<void> accept(const configuration_manifest &Manifest);

  revision inForce() const { return Machine.inForce(); }
  const configuration_manifest &manifest() const { return Manifest; }

private:
  void record() const;
  void dropUnnamed();

  control_context &Context;
  rollout_machine Machine;
  configuration_manifest Manifest;
  std::unordered_map<std::string, std::string> Documents;
};

} // namespace peridot
