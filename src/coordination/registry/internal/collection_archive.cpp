#include "coordination/registry/collection_archive.h"

#include "state/base/hashing.h"

namespace peridot {

namespace {

/// Smaller entries are cheap to send whole.
constexpr std::size_t MinBytesToKeepEarlier = 4U << 10U;
constexpr std::size_t MaxEarlierTexts = 2;

} // namespace

void collection_archive::put(const std::string &Name, std::string Text) {
  archived_entry &Entry = Entries[Name];
  if (Entry.Text == Text)
    return;
  if (Entry.Text.size() >= MinBytesToKeepEarlier)
    Entry.Earlier.insert(Entry.Earlier.begin(), std::move(Entry.Text));
  if (Entry.Earlier.size() > MaxEarlierTexts)
    Entry.Earlier.pop_back();
  Entry.Text = std::move(Text);
}

void collection_archive::remove(const std::string &Name) {
  Entries.erase(Name);
}

std::vector<std::string_view> collection_archive::texts() const {
  std::vector<std::string_view> Texts;
  Texts.reserve(Entries.size());
  for (const auto &[Name, Entry] : Entries)
    Texts.push_back(Entry.Text);
  return Texts;
}

std::string_view collection_archive::text(const std::string &Name) const {
  const auto Found = Entries.find(Name);
  return Found == Entries.end() ? std::string_view() : Found->second.Text;
}

std::optional<std::string_view>
collection_archive::findText(const std::string &Name,
                             std::uint64_t Hash) const {
  const auto Found = Entries.find(Name);
  if (Found == Entries.end())
    return std::nullopt;
  if (contentHash(Found->second.Text) == Hash)
    return Found->second.Text;
  for (const std::string &Earlier : Found->second.Earlier)
    if (contentHash(Earlier) == Hash)
      return Earlier;
  return std::nullopt;
}

} // namespace peridot
