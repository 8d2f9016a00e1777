/// \file
/// Token bucket from which the traffic threads use a granted share. Its level
/// is one atomic word (generic cell rate algorithm).
#pragma once

#include <atomic>

#include "coordination/limits/share_options.h"

namespace peridot {

/// Share, level and expiry with which a bucket is opened.
struct bucket_settings {
  pool_limit Share;
  double Level = 0; ///< Tokens at the start; at most Share.Burst.
  instant ValidUntil;
};

/// Any thread may call take(); the rest is for the control thread only.
class share_bucket {
public:
  /// Takes one token. Returns false if there is none, the share has expired, or
  /// concurrent changes by other threads exhausted the attempts. Never blocks.
  bool take(instant Now);
  /// Returns when the next token is available; instant::max() if none will be.
  instant nextToken(instant Now) const;
  bool isValidAt(instant Now) const;

  /// Closes the bucket and returns the tokens that were left.
  double close(instant Now);
  /// Opens the bucket with a share. It must be closed before.
  void open(const bucket_settings &Settings, instant Now);
  /// Returns the tokens left at \p Now.
  double level(instant Now) const;

private:
  using nanos = duration::rep;
  static constexpr nanos Closed = std::numeric_limits<nanos>::max();

  double levelOf(nanos Arrival, instant Now) const;

  /// Theoretical arrival time of the next request. The bucket is full if it is
  /// in the past and empty if it is Tolerance ahead.
  std::atomic<nanos> Arrival{Closed};
  std::atomic<nanos> Interval{1};  ///< Time between two tokens.
  std::atomic<nanos> Tolerance{0}; ///< Time in which the whole burst refills.
  std::atomic<nanos> ValidUntil{0};
};

} // namespace peridot
