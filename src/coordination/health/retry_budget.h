/// \file
/// Bounds retries to a fraction of the successes.
#pragma once

#include <algorithm>
#include <unordered_map>

#include "state/base/types/identifiers.h"

namespace peridot {

/// Settings of a retry budget.
struct retry_budget_options {
  double RetriesPerSuccess = 0.1;
  /// Retries saved up at most; also what a new budget starts with.
  double Capacity = 10;
};

/// The budget of one account at one service.
class retry_budget {
public:
  explicit retry_budget(const retry_budget_options &Options)
      : Options(Options), Tokens(Options.Capacity) {}

  void succeeded() {
    Tokens = std::min(Tokens + Options.RetriesPerSuccess, Options.Capacity);
  }
  /// Takes one retry off the budget; false when none is left.
  bool take() {
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  retry_budget_options Options;
  double Tokens;
};

/// Whose retries and where.
struct retry_party {
  account_name Account; ///< Empty for open routes.
  service_name Service;

  bool operator==(const retry_party &) const = default;
};

struct retry_party_hash {
  std::size_t operator()(const retry_party &Party) const {
    return std::hash<account_name>{}(Party.Account) * 31 +
           std::hash<service_name>{}(Party.Service);
  }
};

/// The budgets of one traffic thread.
class retry_budgets {
public:
  explicit retry_budgets(retry_budget_options Options = {})
      : Options(Options) {}

  retry_budget &of(const retry_party &Party) {
    return Budgets.try_emplace(Party, Options).first->second;
  }

private:
  retry_budget_options Options;
  std::unordered_map<retry_party, retry_budget, retry_party_hash> Budgets;
};

} // namespace peridot
