/// \file
/// One node and a scripted target, for tests of responses that break the
/// protocol.
#pragma once

#include <memory>
#include <string>

#include "support/caller_fixture.h"
#include "support/scripted_target.h"

namespace peridot::test {

/// Adds the routes /raw (not repeatable) and /raw-again (repeatable), both with
/// a deadline of 1 s, and /raw-upload (not repeatable, 20 s); their only target
/// is scripted and must return the id of the attempt.
class faulty_target_fixture : public caller_fixture {
public:
  /// Publishes the routes; \p Script runs after the head of a request.
  /// \param Names number of targets under which the scripted one is listed.
  void addScriptedTarget(scripted_target::script Script, int Names = 1);
  /// Returns the attempt id of the last request that was received.
  static std::string attemptIdOf(const scripted_connection &Connection);
  static std::string response(const std::string &Status, const std::string &Id,
                              const std::string &Body);

  std::unique_ptr<scripted_target> Scripted;
};

} // namespace peridot::test
