#include "coordination/limits/share_directory.h"

#include <algorithm>

namespace peridot {

namespace {

/// Retry-After value if it is unknown when a share will arrive.
constexpr std::chrono::milliseconds UnknownShareDelay{1'000};

/// The table that this thread used last.
struct cached_table {
  std::uint64_t Version = 0;
  std::shared_ptr<const share_table> Table;
};

thread_local cached_table Cached;
std::atomic<std::uint64_t> LastVersion{0};

} // namespace

rate_decision account_share::take(instant Now) {
  Attempts.fetch_add(1, std::memory_order_relaxed);
  if (Main.take(Now) || Reserve.take(Now))
    return rate_admitted{};
  Refusals.fetch_add(1, std::memory_order_relaxed);
  const instant Next = std::min(Main.nextToken(Now), Reserve.nextToken(Now));
  if (Next == instant::max())
    return rate_refused{.RetryAfter = UnknownShareDelay,
                        .ShareRequested = true};
  return rate_refused{std::chrono::ceil<std::chrono::milliseconds>(Next - Now)};
}

void share_directory::replace(std::shared_ptr<const share_table> NewTable) {
  const std::scoped_lock Lock(Mutex);
  Table = std::move(NewTable);
  Version.store(++LastVersion, std::memory_order_release);
}

account_share *share_directory::find(const account_name &Account) const {
  const std::uint64_t Current = Version.load(std::memory_order_acquire);
  if (Current == 0)
    return nullptr;
  if (Cached.Version != Current) {
    const std::scoped_lock Lock(Mutex);
    Cached = {.Version = Version.load(), .Table = Table};
  }
  const auto Found = Cached.Table->find(Account);
  return Found == Cached.Table->end() ? nullptr : Found->second.get();
}

} // namespace peridot
