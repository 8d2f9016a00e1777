/// \file
/// Compresses documents of the store that VMs relay to each other.
#pragma once

#include <string>
#include <string_view>

#include "coordination/registry/types/store_messages.h"
#include "state/base/types/error.h"

namespace peridot {

/// An earlier text that the receiver knows; usually most of a new document
/// stands in it already.
struct packing_base {
  std::string Name; ///< Of the entry.
  std::string_view Text;
};

/// Compresses \p Document. With a base, only what differs takes space.
packed_document packDocument(std::string_view Document,
                             const packing_base &Base = {});

/// Restores a document. \p BaseText is the text with packed_document::BaseHash.
/// Fails with Protocol if the content is malformed or larger than any document
/// of the store.
result<std::string> unpackDocument(const packed_document &Packed,
                                   std::string_view BaseText = {});

} // namespace peridot
