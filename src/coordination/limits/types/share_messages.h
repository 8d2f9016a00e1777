/// \file
/// Messages between the owner that allocates an account's limit and the VMs
/// that hold shares of it. All messages between two VMs are sent in batches.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "state/base/types/identifiers.h"
#include "state/base/types/instant.h"

namespace peridot {

/// Hash of an account's name; identifies the account in messages.
using account_id = strong_number<struct account_id_tag>;
account_id idOf(const account_name &Account);

/// Version of a granted share. Grows with each grant from a pool.
using share_version = strong_number<struct share_version_tag>;

/// The two parts that an account's limit is split into.
enum class pool_kind : std::uint8_t {
  Main,    ///< Granted for seconds, in proportion to demand.
  Reserve, ///< Long-lived shares of the reserve holders, for outages of the
           ///< owner.
};

/// Requests, renews or returns a share of one pool.
struct share_request {
  account_id Account;
  pool_kind Pool = pool_kind::Main;
  epoch Epoch; ///< Epoch of the owner as the holder knows it.
  /// The holder no longer uses versions below this.
  share_version ReleasedBelow;
  double Demand = 0;   ///< Arriving requests per second; 0: no share.
  double Level = 0;    ///< Tokens left in the share.
  double Returned = 0; ///< Tokens removed from the share before sending.

  bool operator==(const share_request &) const = default;
};

/// All requests that a holder sends to one owner at a time.
struct share_request_batch {
  std::uint64_t Sequence = 0; ///< Grows with each batch of an incarnation.
  instant SentAt;             ///< On the holder's clock; echoed in the grants.
  std::vector<share_request> Requests;

  bool operator==(const share_request_batch &) const = default;
};

/// A share granted as escrow: the owner deducts it before it sends the message.
struct share_grant {
  account_id Account;
  pool_kind Pool = pool_kind::Main;
  epoch Epoch;
  share_version Version;
  double Rate = 0;      ///< Refill rate of the share, in requests per second.
  double Burst = 0;     ///< Maximum number of tokens in the share.
  double Tokens = 0;    ///< Added once to the tokens that the holder has left.
  double LimitRate = 0; ///< The account's limit as the owner knows it.
  double LimitBurst = 0;

  bool operator==(const share_grant &) const = default;
};

/// Grants for one holder. How long they are valid depends on the pool and
/// counts from RequestedAt.
struct share_grant_batch {
  incarnation Holder;  ///< Other incarnations of the holder ignore the batch.
  instant RequestedAt; ///< Echo of share_request_batch::SentAt.
  std::vector<share_grant> Grants;

  bool operator==(const share_grant_batch &) const = default;
};

/// An account's limit, with the account's id for look-ups.
struct limited_account {
  account_id Id;
  account_name Name;
  double Rate = 0;  ///< Requests per second.
  double Burst = 0; ///< Requests.
};

} // namespace peridot
