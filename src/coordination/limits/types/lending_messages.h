/// \file
/// What the owner of an account's rate and the VMs that borrow from it tell
/// each other. All messages between two VMs travel batched.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "state/base/types/identifiers.h"
#include "state/base/types/instant.h"

namespace peridot {

/// Hash of an account's name, as messages name it.
using account_id = strong_number<struct account_id_tag>;
account_id idOf(const account_name &Account);

/// Position of a share in the sequence that one owner lent to one borrower.
using share_version = strong_number<struct share_version_tag>;

/// The two parts that an account's limit is split into.
enum class pool_kind : std::uint8_t {
  Main,    ///< Lent for seconds, follows demand.
  Reserve, ///< Lent to home VMs for long, serves while the owner is lost.
};

/// A borrower asks for a share of one pool, renews it or returns it.
struct share_request {
  account_id Account;
  pool_kind Pool = pool_kind::Main;
  epoch Epoch;             ///< Of the owner that the borrower believes in.
  share_version DeadBelow; ///< The borrower never again uses older shares.
  double Demand = 0;       ///< Requests per second that arrive; 0: no share.
  double Level = 0;        ///< Tokens left in the share.
  double Returned = 0;     ///< Tokens taken off the share before sending.

  bool operator==(const share_request &) const = default;
};

/// All requests of one borrower to one owner at one moment.
struct share_request_batch {
  std::uint64_t Sequence = 0; ///< Grows with each batch of an incarnation.
  instant SentAt;             ///< On the borrower's clock; echoed.
  std::vector<share_request> Requests;

  bool operator==(const share_request_batch &) const = default;
};

/// Escrow: the owner has deducted this before the message left.
struct share_grant {
  account_id Account;
  pool_kind Pool = pool_kind::Main;
  epoch Epoch;
  share_version Version;
  double Rate = 0;      ///< Requests per second that the share refills by.
  double Burst = 0;     ///< Most tokens that the share may hold.
  double Tokens = 0;    ///< Added once to what the borrower has left.
  double LimitRate = 0; ///< The account's limit as the owner knows it.
  double LimitBurst = 0;

  bool operator==(const share_grant &) const = default;
};

/// Grants for one borrower, valid for the pool's term from RequestedAt on.
struct share_grant_batch {
  incarnation Borrower; ///< Other runs of the borrower's process ignore it.
  instant RequestedAt;  ///< Echo of share_request_batch::SentAt.
  std::vector<share_grant> Grants;

  bool operator==(const share_grant_batch &) const = default;
};

/// One account's limit, prepared for look-ups by id.
struct limited_account {
  account_id Id;
  account_name Name;
  double Rate = 0;  ///< Requests per second.
  double Burst = 0; ///< Requests.
};

} // namespace peridot
