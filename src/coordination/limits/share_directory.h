/// \file
/// The shares of all accounts, as traffic threads look them up.
#pragma once

#include <memory>
#include <mutex>
#include <unordered_map>

#include "coordination/limits/share_bucket.h"
#include "coordination/limits/types/rate_decision.h"

namespace peridot {

/// What this VM may admit of one account.
class account_share {
public:
  /// Takes one request off the main share, or else off the reserve.
  rate_decision take(instant Now);

  /// True if the main share has not ended.
  bool mainValidAt(instant Now) const { return Main.validAt(Now); }

  share_bucket &bucketOf(pool_kind Pool) {
    return Pool == pool_kind::Main ? Main : Reserve;
  }
  /// Requests that asked so far. Thread-safe.
  std::uint64_t attempts() const { return Attempts.load(); }
  /// Requests refused so far. Thread-safe.
  std::uint64_t refusals() const { return Refusals.load(); }

private:
  share_bucket Main;
  share_bucket Reserve;
  std::atomic<std::uint64_t> Attempts{0};
  std::atomic<std::uint64_t> Refusals{0};
};

/// Shares by account; immutable, the shares themselves change.
using share_table =
    std::unordered_map<account_name, std::shared_ptr<account_share>>;

/// Hands the current table to the traffic threads. A thread takes the mutex
/// only for the first look-up after a table was replaced.
class share_directory {
public:
  void replace(std::shared_ptr<const share_table> Replacing);

  /// The account's share, or null. Thread-safe; valid until the calling
  /// thread looks up again.
  account_share *find(const account_name &Account) const;

private:
  mutable std::mutex Mutex;
  std::shared_ptr<const share_table> Table;
  /// Unique among all directories of the process; 0: no table yet.
  std::atomic<std::uint64_t> Version{0};
};

} // namespace peridot
