/// \file
/// Token buckets of all accounts on one VM; thread-safe.
#pragma once

#include <mutex>
#include <span>
#include <unordered_map>
#include <vector>

#include "coordination/hosting/demand_shares.h"
#include "coordination/hosting/sliding_count.h"
#include "coordination/limits/types/rate_decision.h"

namespace peridot {

/// What becomes of responses of the primary that no request has consumed yet.
enum class unused_responses { Age, Keep };

class account_buckets {
public:
  /// \param Lease how long after configure() shares may be used. A VM that was
  /// frozen for longer may hold parts that others have been given.
  explicit account_buckets(duration Lease = duration::max()) : Lease(Lease) {}
  /// Copies the state; the copy is independent of \p Other.
  account_buckets(const account_buckets &Other);
  account_buckets &operator=(const account_buckets &) = delete;

  /// Replaces the shares; accounts without one are not limited from then on.
  void configure(std::span<const account_limit_share> Shares, instant Now,
                 unused_responses Responses = unused_responses::Age);
  /// Takes one token from the account's share or from the reserve of this VM;
  /// requests that were refused before may also use a grant of the primary.
  rate_decision take(const account_name &Account, rate_check Check,
                     instant Now);
  /// Takes up to \p Requests from the reserve of this VM.
  /// \returns the number taken.
  unsigned grantFromReserve(const account_name &Account, unsigned Requests,
                            instant Now);
  /// Adds requests that the primary granted; 0: it denied one request.
  void addGrant(const account_name &Account, unsigned Requests);
  /// Returns the request rate per account, admitted or not, since the last
  /// call, which was \p Period ago.
  std::vector<account_demand> takeDemand(duration Period);
  /// Returns how often since the last call a request found no token at this VM
  /// while a part of the limit that is due to this VM was not in use.
  unsigned takeRefusalsBesideIdlePart();

private:
  friend struct state_digest; ///< Tests recognise equal states by it.

  struct token_bucket {
    rate_limit Limit;
    double Tokens = 0;
    instant RefilledAt{};
    /// Window over which the limit is enforced: at most the rate times the
    /// window, plus the burst. 0: no window, tokens refill at the rate only.
    duration Window{0};
    /// Tokens of the burst that refill in each window besides the rate.
    double BurstPerWindow = 0;
    /// When BurstPerWindow starts to refill. Before, a burst granted by the
    /// previous primary may still count in the window.
    instant BurstRefillsFrom{};
    sliding_count TakenInWindow;

    /// \param InitialTokens tokens of a bucket that had no limit before.
    void configure(const rate_limit &NewLimit, double InitialTokens,
                   instant Now);
    void setWindow(duration Length, double BurstPerWindow, instant Now);
    bool take(instant Now);
    void refill(instant Now);
    bool isWindowFull(instant Now);
  };
  /// Responses of the primary that no request has consumed yet. A response is
  /// discarded at the second configure() that ages it: by then the request
  /// that waited for it has given up.
  struct primary_responses {
    unsigned Count = 0;
    unsigned OldCount = 0; ///< Part of Count from before the last configure().

    void add(unsigned Number) { Count += Number; }
    bool take();
    void age();
  };
  struct bucket {
    token_bucket OwnShare;
    token_bucket Reserve;
    rate_limit AccountLimit;
    double ExpectedPerSecond = 0;
    vm_name Primary;
    primary_responses Granted;
    primary_responses Denied;
    /// Until the first shares are known, every account counts as limited and
    /// has none.
    bool IsLimited = true;
    bool HasIdlePart = false;
    unsigned RequestCount = 0; ///< Since the last takeDemand().
  };

  mutable std::mutex Mutex;
  bool isLeaseOver(instant Now) const { return Now - ConfiguredAt > Lease; }

  duration Lease;
  instant ConfiguredAt{};
  std::unordered_map<account_name, bucket> Buckets;
  unsigned RefusalsBesideIdlePart = 0;
};

} // namespace peridot
