/// \file
/// Revisions of the store's changes that this VM has read.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>

namespace peridot {

/// The store numbers all changes of all its objects with one counter. So if
/// every revision up to a position was read with some collection, no collection
/// lacks a change; if one was not, the collections that are complete only up to
/// an earlier position may lack it. The newest revisions are kept; older ones
/// count as not seen, which costs at most a superfluous read.
class seen_revisions {
public:
  explicit seen_revisions(std::size_t MaxCount = 4'096) : MaxCount(MaxCount) {}

  void record(std::uint64_t Revision);
  /// Whether all revisions after \p After up to \p UpTo were recorded.
  bool coverRange(std::uint64_t After, std::uint64_t UpTo) const;

private:
  std::size_t MaxCount;
  std::set<std::uint64_t> Revisions;
};

} // namespace peridot
