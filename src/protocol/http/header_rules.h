/// \file
/// Which header fields pass between callers and targets.
#pragma once

#include <boost/beast/http/fields.hpp>

namespace peridot {

/// Removes hop-by-hop fields: those of RFC 9110 and those that the Connection
/// field names. Transfer-Encoding and Content-Length stay; the serializer
/// frames the body anew.
void removeHopByHopFields(boost::beast::http::fields &Fields);

/// Removes what no target may see: the account's key.
void removeSecrets(boost::beast::http::fields &Fields);

} // namespace peridot
