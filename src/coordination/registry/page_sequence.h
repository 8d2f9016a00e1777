/// \file
/// Decides how to go on with a list that the store returns in pages.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <unordered_set>
#include <variant>

namespace peridot {

/// The list is complete.
struct list_ended {};

/// Request the page that follows a name.
struct next_page {
  std::string After;
};

/// Why a list stops although the store has further entries.
enum class list_stop_reason {
  NoName,       ///< No entry of a page has a name to go on from.
  NotAdvancing, ///< A page has no entry that earlier pages did not have.
  TooLong,      ///< The list has more than MaxListedEntries.
};

std::string_view nameOf(list_stop_reason Reason);

/// The list lacks entries.
struct list_stopped {
  list_stop_reason Reason = list_stop_reason::NoName;
};

using page_step = std::variant<list_ended, next_page, list_stopped>;

/// Bounds the memory and the calls of a list; a multiple of the entries of the
/// largest fleet.
inline constexpr std::size_t MaxListedEntries = 100'000;

/// Follows one list from its first page to its end.
class page_sequence {
public:
  /// Records a page.
  /// \param Names names of its entries, in the order of the store.
  /// \param HasMore whether the store says that entries follow.
  page_step record(std::span<const std::string_view> Names, bool HasMore);

  /// Returns the name after which the next page begins; empty: the first page.
  const std::string &after() const { return After; }

private:
  std::unordered_set<std::string> Seen;
  std::string After;
};

} // namespace peridot
