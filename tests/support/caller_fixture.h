/// \file
/// One node before one target, for tests of the callers' side.
#pragma once

#include <string>
#include <vector>

#include "support/fleet_fixture.h"

namespace peridot::test {

/// Routes: /hive (repeatable), /once (not repeatable), /small (64 KB of body),
/// /quick (deadline 500 ms); all open. /keyed needs the key "secret".
class caller_fixture : public fleet_fixture {
public:
  explicit caller_fixture(const std::vector<std::string> &NodeFlags = {});

  std::uint16_t port() const { return Nodes.front()->CallerPort; }
  running_target &target() const { return *Targets.front(); }
  /// Sends \p Bytes on a new connection and returns all of the answer.
  std::string sendRaw(const std::string &Bytes) const;
  /// Sum of all series of a counter whose line starts with \p Series.
  std::uint64_t metric(const std::string &Series) const;
  void awaitMetric(const std::string &Series, std::uint64_t Least) const;
};

} // namespace peridot::test
