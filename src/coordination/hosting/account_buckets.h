/// \file
/// Token buckets of the accounts on one VM; safe to use from any thread.
#pragma once

#include <mutex>
#include <span>
#include <unordered_map>
#include <vector>

#include "coordination/hosting/demand_shares.h"
#include "coordination/hosting/sliding_count.h"
#include "coordination/limits/types/rate_decision.h"

namespace peridot {

class account_buckets {
public:
  /// Replaces the parts; accounts without one are not limited.
  void configure(std::span<const account_part> Parts, instant Now);
  /// Takes one request off an account's part, or off what this VM keeps of it
  /// for all.
  rate_decision take(const account_name &Account, rate_question Question,
                     instant Now);
  /// Takes up to \p Requests off what this VM keeps for all.
  /// \returns how many.
  unsigned giveAway(const account_name &Account, unsigned Requests,
                    instant Now);
  /// Adds requests that another VM gave away; none: it declined one.
  void receive(const account_name &Account, unsigned Requests);
  /// Requests per account since the last call, admitted or not.
  std::vector<account_demand> takeDemand(duration Period);

private:
  struct token_bucket {
    rate_limit Limit;
    double Tokens = 0;
    instant At{};
    /// The limit counts in this window: the rate times the window and the
    /// burst, of which so much may be used again in each. 0: a burst comes back
    /// with the rate only.
    duration Window{0};
    double Again = 0;
    /// A burst that another VM gave just before may count until then.
    instant WholeFrom{};
    sliding_count Taken;

    /// \param First requests that a new bucket holds.
    void configure(const rate_limit &Replacing, double First, instant Now);
    void setWindow(duration Length, double Again, instant Now);
    bool take(instant Now);
    void refill(instant Now);
    bool windowIsFull(instant Now);
  };
  /// Answers of the home that nobody has taken yet. Whoever waited for one
  /// has given up when it is still there two reconfigurations later.
  struct home_answers {
    unsigned Count = 0;
    unsigned Old = 0; ///< Of Count, from before the last reconfiguration.

    void add(unsigned Number) { Count += Number; }
    bool take();
    void age();
  };
  struct bucket {
    token_bucket Own;
    token_bucket Kept;
    rate_limit Whole;
    vm_name Home;
    home_answers Given;
    home_answers Declined;
    bool IsLimited = false;
    unsigned Asked = 0;
  };

  std::mutex Mutex;
  std::unordered_map<account_name, bucket> Buckets;
};

} // namespace peridot
