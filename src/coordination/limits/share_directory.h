/// \file
/// Shares of all accounts, for look-ups by traffic threads.
#pragma once

#include <memory>
#include <mutex>
#include <unordered_map>

#include "coordination/limits/share_bucket.h"
#include "coordination/limits/types/rate_decision.h"

namespace peridot {

/// The shares of one account's limit that this VM holds.
class account_share {
public:
  /// Takes one token from the main share, or from the reserve if the main share
  /// has none.
  rate_decision take(instant Now);

  /// Whether this VM holds a main share that has not expired.
  bool isMainValidAt(instant Now) const { return Main.isValidAt(Now); }

  share_bucket &bucketOf(pool_kind Pool) {
    return Pool == pool_kind::Main ? Main : Reserve;
  }
  /// Number of calls of take() so far. Thread-safe.
  std::uint64_t attempts() const { return Attempts.load(); }
  /// Number of refused requests so far. Thread-safe.
  std::uint64_t refusals() const { return Refusals.load(); }

private:
  share_bucket Main;
  share_bucket Reserve;
  std::atomic<std::uint64_t> Attempts{0};
  std::atomic<std::uint64_t> Refusals{0};
};

/// Shares by account. A published table is immutable; its shares change.
using share_table =
    std::unordered_map<account_name, std::shared_ptr<account_share>>;

/// Gives traffic threads access to the current table. A thread locks the mutex
/// only for its first look-up after the table was replaced.
class share_directory {
public:
  void replace(std::shared_ptr<const share_table> NewTable);

  /// Returns the account's share, or null. Thread-safe; the pointer is valid
  /// until the calling thread's next look-up.
  account_share *find(const account_name &Account) const;

private:
  mutable std::mutex Mutex;
  std::shared_ptr<const share_table> Table;
  /// Unique among all directories of the process; 0 if there is no table yet.
  std::atomic<std::uint64_t> Version{0};
};

} // namespace peridot
