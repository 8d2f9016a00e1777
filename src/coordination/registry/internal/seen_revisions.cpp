#include "coordination/registry/seen_revisions.h"

#include <iterator>

namespace peridot {

void seen_revisions::record(std::uint64_t Revision) {
  Revisions.insert(Revision);
  if (Revisions.size() > MaxCount)
    Revisions.erase(Revisions.begin());
}

bool seen_revisions::coverRange(std::uint64_t After, std::uint64_t UpTo) const {
  if (UpTo <= After)
    return true;
  const std::uint64_t Count = UpTo - After;
  if (Count > Revisions.size())
    return false;
  const auto Begin = Revisions.upper_bound(After);
  const auto End = Revisions.upper_bound(UpTo);
  return static_cast<std::uint64_t>(std::distance(Begin, End)) == Count;
}

} // namespace peridot
