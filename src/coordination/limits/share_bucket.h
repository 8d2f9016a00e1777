/// \file
/// A borrowed share as the traffic threads use it: a token bucket in one
/// atomic word (generic cell rate algorithm).
#pragma once

#include <atomic>

#include "coordination/limits/lending_options.h"

namespace peridot {

/// What a bucket holds from a moment on.
struct bucket_terms {
  pool_limit Share;
  double Level = 0; ///< Tokens at the start; at most Share.Burst.
  instant ValidUntil;
};

/// take() is called by any thread, the rest by the control thread only.
class share_bucket {
public:
  /// Takes one token; false when there is none, the share has ended, or other
  /// threads kept changing the bucket. Never waits.
  bool take(instant Now);
  /// When the next token is expected; instant::max() if none is.
  instant nextToken(instant Now) const;
  bool validAt(instant Now) const;

  /// Ends the share and returns the tokens that were left.
  double close(instant Now);
  /// Starts a share; the bucket must be closed.
  void open(const bucket_terms &Terms, instant Now);
  /// Tokens left at \p Now.
  double level(instant Now) const;

private:
  using nanos = duration::rep;
  static constexpr nanos Closed = std::numeric_limits<nanos>::max();

  double levelOf(nanos Arrival, instant Now) const;

  /// Theoretical arrival time of the next request: the bucket is full when
  /// it is past, empty when it lies Tolerance ahead.
  std::atomic<nanos> Arrival{Closed};
  std::atomic<nanos> Interval{1};  ///< Between two tokens.
  std::atomic<nanos> Tolerance{0}; ///< Burst, as time.
  std::atomic<nanos> ValidUntil{0};
};

} // namespace peridot
