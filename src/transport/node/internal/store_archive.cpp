#include "transport/node/internal/store_archive.h"

#include <algorithm>

#include "protocol/store_messages/document_packing.h"

namespace peridot {

namespace {

/// Whether an entry is kept. One that cannot be decoded is of no use to another
/// VM, and may be so large that the messages to it are refused.
bool isKept(const store_item &Item) {
  return !Item.IsRemoved && !Item.Text.empty();
}

/// Whether a list has the entries of \p Entries and no others to keep.
bool isSameList(const collection_archive &Entries, const store_items &List) {
  const auto Kept = std::ranges::count_if(List.Items, isKept);
  return Entries.size() == static_cast<std::size_t>(Kept) &&
         std::ranges::all_of(List.Items, [&](const store_item &Item) {
           return !isKept(Item) || Entries.text(Item.Name) == Item.Text;
         });
}

} // namespace

bool store_archive::apply(fleet_collection Collection, const store_items &Items,
                          bool IsList) {
  archived_collection &Archived = get(Collection);
  if (IsList ? isSameList(Archived.Entries, Items) : Items.Items.empty())
    return false;
  Archived.LastSnapshot = {};
  // A list keeps the earlier texts of the entries that are still there.
  if (IsList) {
    collection_archive Listed;
    for (const store_item &Item : Items.Items)
      if (isKept(Item))
        Listed.put(Item.Name, std::string(Archived.Entries.text(Item.Name)));
    Archived.Entries = std::move(Listed);
  }
  for (const store_item &Item : Items.Items)
    if (isKept(Item))
      Archived.Entries.put(Item.Name, Item.Text);
    else
      Archived.Entries.remove(Item.Name);
  return true;
}

packed_document store_archive::packChanges(fleet_collection Collection,
                                           const store_items &Changes) const {
  packing_base Base;
  for (const store_item &Item : Changes.Items) {
    const std::string_view Text = get(Collection).Entries.text(Item.Name);
    if (Text.size() > Base.Text.size())
      Base = {.Name = Item.Name, .Text = Text};
  }
  return packDocument(Changes.Document, Base);
}

result<std::string>
store_archive::unpackChanges(fleet_collection Collection,
                             const packed_document &Packed) const {
  if (Packed.BaseHash == 0)
    return unpackDocument(Packed);
  const auto BaseText =
      get(Collection).Entries.findText(Packed.BaseName, Packed.BaseHash);
  if (!BaseText)
    return fail(error_kind::Conflict,
                "relayed changes refer to another text of entry " +
                    Packed.BaseName,
                "none needed: the collection is read again");
  return unpackDocument(Packed, *BaseText);
}

store_snapshot store_archive::snapshot(fleet_collection Collection,
                                       const collection_sync &Progress) {
  archived_collection &Archived = get(Collection);
  store_snapshot &Last = Archived.LastSnapshot;
  const std::uint64_t Position = Progress.position();
  if (Last.Position != Position || Last.Document.Bytes.empty())
    Last = {.Collection = Collection,
            .Position = Position,
            .LastChange = Progress.lastChange(),
            .Document = packDocument(
                Store.EncodeList(Archived.Entries.texts(), Position))};
  return Last;
}

} // namespace peridot
