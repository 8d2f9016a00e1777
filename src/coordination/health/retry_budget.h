/// \file
/// Limits retries to a fraction of requests and successes.
#pragma once

#include <algorithm>
#include <unordered_map>

#include "state/base/types/identifiers.h"

namespace peridot {

/// Settings of a retry budget.
struct retry_budget_options {
  double RetriesPerSuccess = 0.1;
  /// Added by each request, whatever its outcome.
  double RetriesPerRequest = 0;
  /// Whether each client account has its own budget at a service; otherwise
  /// all accounts share one.
  bool PerAccount = true;
  /// Whether attempts that the target certainly did not run are charged too.
  bool ChargeRefused = false;
  /// Maximum number of saved retries.
  double Capacity = 10;
  /// Retries in a new budget, limited to the capacity.
  double InitialTokens = 10;
};

/// Retry budget of one client account at one service, or of all accounts.
class retry_budget {
public:
  explicit retry_budget(const retry_budget_options &Options)
      : Options(Options),
        Tokens(std::min(Options.InitialTokens, Options.Capacity)) {}

  void recordRequest() { earn(Options.RetriesPerRequest); }
  void recordSuccess() { earn(Options.RetriesPerSuccess); }
  /// Whether a retry is left besides \p Reserved, a fraction of the capacity.
  bool hasRetry(double Reserved = 0) const {
    return Tokens >= 1 + Reserved * Options.Capacity;
  }
  /// Takes one retry from the budget.
  /// \returns false if none is left besides \p Reserved.
  bool take(double Reserved = 0) {
    if (!hasRetry(Reserved))
      return false;
    Tokens -= 1;
    return true;
  }

  /// Replaces the settings. Saved retries are kept, up to the new capacity.
  void configure(const retry_budget_options &NewOptions) {
    Options = NewOptions;
    earn(0);
  }

private:
  void earn(double Retries) {
    Tokens = std::min(Tokens + Retries, Options.Capacity);
  }

  retry_budget_options Options;
  double Tokens;
};

/// Client account and service that a budget belongs to.
struct retry_budget_key {
  account_name Account; ///< Empty for routes that need no account.
  service_name Service;

  bool operator==(const retry_budget_key &) const = default;
};

struct retry_budget_key_hash {
  std::size_t operator()(const retry_budget_key &Key) const {
    return std::hash<account_name>{}(Key.Account) * 31 +
           std::hash<service_name>{}(Key.Service);
  }
};

/// Retry budgets of one traffic thread.
class retry_budgets {
public:
  explicit retry_budgets(retry_budget_options Options = {})
      : Options(Options) {}

  /// Returns the budget of \p Key and creates it on first use.
  retry_budget &getOrCreate(retry_budget_key Key) {
    if (!Options.PerAccount)
      Key.Account = {};
    return Budgets.try_emplace(std::move(Key), Options).first->second;
  }
  /// Replaces the settings of all budgets in place, because requests in
  /// progress hold references to them.
  void configure(const retry_budget_options &NewOptions) {
    Options = NewOptions;
    for (auto &[Key, Budget] : Budgets)
      Budget.configure(NewOptions);
  }
  bool chargesRefused() const { return Options.ChargeRefused; }

private:
  retry_budget_options Options;
  std::unordered_map<retry_budget_key, retry_budget, retry_budget_key_hash>
      Budgets;
};

} // namespace peridot
