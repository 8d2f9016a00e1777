#include "coordination/limits/share_options.h"

#include <algorithm>

#include "state/base/hashing.h"

namespace peridot {

namespace {

/// A bucket that holds less than one token admits nothing.
constexpr double MinUsefulBurst = 1;

double reserveBurst(double Burst, double Fraction) {
  if (Burst < 2 * MinUsefulBurst)
    return 0;
  return std::max(MinUsefulBurst, Burst * Fraction);
}

} // namespace

account_id idOf(const account_name &Account) {
  return {rendezvousWeight("account-id", Account.view())};
}

pool_limit poolLimit(const limited_account &Account, pool_kind Pool,
                     const share_options &Options) {
  const double Reserved = reserveBurst(Account.Burst, Options.ReserveFraction);
  const double Rate = Account.Rate * (1 - Options.ClockDrift);
  const double Fraction = Reserved > 0 ? Options.ReserveFraction : 0;
  if (Pool == pool_kind::Reserve)
    return {.Rate = Rate * Fraction, .Burst = Reserved};
  return {.Rate = Rate * (1 - Fraction), .Burst = Account.Burst - Reserved};
}

} // namespace peridot
