/// \file
/// The entries of a collection as the store's own texts.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// Keeps the texts with which a VM hands a collection to another one. Earlier
/// texts of large entries are kept for a while: relayed changes refer to them,
/// and the VMs do not learn of each change at the same time.
class collection_archive {
public:
  std::size_t size() const { return Entries.size(); }
  void put(const std::string &Name, std::string Text);
  void remove(const std::string &Name);

  /// Returns the current texts of all entries.
  std::vector<std::string_view> texts() const;
  /// Returns the current text of an entry; empty if there is none.
  std::string_view text(const std::string &Name) const;
  /// Returns the current or an earlier text of an entry; nullopt if none with
  /// this hash is known.
  std::optional<std::string_view> findText(const std::string &Name,
                                           std::uint64_t Hash) const;

private:
  struct archived_entry {
    std::string Text;
    std::vector<std::string> Earlier; ///< Latest first.
  };

  std::map<std::string, archived_entry> Entries;
};

} // namespace peridot
