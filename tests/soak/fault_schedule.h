/// \file
/// Injects a random series of faults that a seed determines. Faults may
/// overlap, and temporary ones end after a random time.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "soak/target_announcements.h"
#include "support/run_records.h"
#include "support/store_fleet.h"

namespace peridot::test {

/// Injects faults into a fleet from outside its processes: signals, proxied
/// links, faults of the platform's stand-in, target entries in the store and
/// new configurations.
class fault_schedule {
public:
  using time_point = std::chrono::steady_clock::time_point;

  fault_schedule(store_fleet &Fleet, unsigned Seed);

  /// Injects faults for \p Time, then ends all of them and restarts the nodes
  /// that are down.
  void run(std::chrono::seconds Time);
  /// When the first key of the account crews was revoked; max() if it was not.
  time_point keyRevokedAt() const { return KeyRevokedAt; }
  /// Accounts of the latest configuration.
  std::vector<store_account> accounts() const;
  /// When the VMs were down, frozen or cut off.
  const std::vector<vm_interruption> &interruptions() const {
    return Interruptions;
  }

private:
  std::size_t randomBelow(std::size_t Limit) { return Random() % Limit; }
  std::chrono::milliseconds randomDelay(int MinMs, int MaxMs) {
    return std::chrono::milliseconds(
        MinMs +
        static_cast<int>(randomBelow(static_cast<std::size_t>(MaxMs - MinMs))));
  }
  /// Runs \p End after the delay \p After, or when the run ends if that is
  /// earlier.
  void scheduleEnd(std::chrono::milliseconds After, std::function<void()> End);
  void log(const std::string &Event) const;
  /// Records that a VM is interrupted from now on. \returns the number to pass
  /// to endInterruption().
  std::size_t beginInterruption(interruption_kind Kind, const store_node &Node,
                                const std::string &Target = "");
  void endInterruption(std::size_t Number);
  /// The same for a cut of all VMs from a target.
  std::vector<std::size_t> beginCutOfAll(const store_target &Target);
  void endInterruptions(std::span<const std::size_t> Numbers);
  /// Sets faults of the link to a target and schedules their end. All VMs are
  /// cut off from it meanwhile if the fault loses bytes.
  void breakTargetLink(store_target &Target, const std::string &Fault);
  /// Existing connections to a target lose all further bytes.
  void forgetTargetConnections(store_target &Target);

  void injectRandomFault();
  void killNode();
  void stopNode();
  void pauseNode();
  void injectPlatformLinkFault();
  void injectTargetFault();
  void injectPlatformFault();
  void changeConfiguration();
  void revokeKey();
  void drainTarget();

  store_fleet &Fleet;
  std::mt19937 Random;
  target_announcer Announcer;
  std::vector<vm_interruption> Interruptions;
  std::multimap<time_point, std::function<void()>> PendingEnds;
  /// By node index: whether its process has ended or is paused.
  std::vector<bool> IsNodeDown;
  int Version = 1;
  time_point KeyRevokedAt = time_point::max();
  time_point Start;
};

} // namespace peridot::test
