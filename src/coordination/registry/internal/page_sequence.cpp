#include "coordination/registry/page_sequence.h"

#include <algorithm>

namespace peridot {

namespace {

/// Longer names may exceed what a server accepts as a request line.
constexpr std::size_t MaxPortableBytes = 255;

/// Whether all servers decode the name from a query as it was encoded.
bool isPortable(std::string_view Name) {
  return Name.size() <= MaxPortableBytes &&
         std::ranges::all_of(
             Name, [](char Each) { return Each > ' ' && Each <= '~'; });
}

} // namespace

std::string_view nameOf(list_stop_reason Reason) {
  switch (Reason) {
  case list_stop_reason::NoName:
    return "no entry of a page has a name";
  case list_stop_reason::NotAdvancing:
    return "a page repeats earlier entries";
  case list_stop_reason::TooLong:
    return "the list is too long";
  }
  return "unknown";
}

page_step page_sequence::record(std::span<const std::string_view> Names,
                                bool HasMore) {
  const std::size_t SeenBefore = Seen.size();
  // The next page may repeat the entries after a portable name.
  std::string_view LastNew;
  std::string_view LastPortable;
  for (const std::string_view Name : Names) {
    if (Name.empty() || !Seen.emplace(Name).second)
      continue;
    LastNew = Name;
    if (isPortable(Name))
      LastPortable = Name;
  }
  if (!HasMore)
    return list_ended{};
  if (Names.empty())
    return list_stopped{list_stop_reason::NoName};
  if (Seen.size() == SeenBefore)
    return list_stopped{list_stop_reason::NotAdvancing};
  if (Seen.size() > MaxListedEntries)
    return list_stopped{list_stop_reason::TooLong};
  After = LastPortable.empty() ? LastNew : LastPortable;
  return next_page{After};
}

} // namespace peridot
