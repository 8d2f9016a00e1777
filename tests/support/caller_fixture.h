/// \file
/// One node and one target, for tests of the caller-facing listener.
#pragma once

#include <string>
#include <vector>

#include "support/fleet_fixture.h"

namespace peridot::test {

/// Open routes: /hive (repeatable), /once (not repeatable), /small (body limit
/// 64 KB), /quick (deadline 500 ms). Route /keyed requires the key "secret".
class caller_fixture : public fleet_fixture {
public:
  explicit caller_fixture(const std::vector<std::string> &NodeFlags = {});

  std::uint16_t port() const { return Nodes.front()->CallerPort; }
  running_target &target() const { return *Targets.front(); }
  /// Sends \p Bytes on a new connection and returns everything received until
  /// it closes.
  std::string sendRaw(const std::string &Bytes) const;
  /// Sum of all counter series whose line starts with \p Series.
  std::uint64_t metric(const std::string &Series) const;
  /// Waits until metric(\p Series) is at least \p Minimum.
  void awaitMetric(const std::string &Series, std::uint64_t Minimum) const;
};

} // namespace peridot::test
