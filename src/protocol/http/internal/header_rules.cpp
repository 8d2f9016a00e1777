#include "protocol/http/header_rules.h"

#include <string>
#include <vector>

#include <boost/beast/http/rfc7230.hpp>

#include "protocol/http/problem_details.h"

namespace peridot {

namespace http = boost::beast::http;

namespace {

/// Fields whose framing role the serializer takes over.
bool isFraming(boost::beast::string_view Name) {
  return boost::beast::iequals(Name, "Transfer-Encoding") ||
         boost::beast::iequals(Name, "Content-Length");
}

} // namespace

void removeHopByHopFields(http::fields &Fields) {
  std::vector<std::string> Named;
  for (auto [First, Last] = Fields.equal_range(http::field::connection);
       First != Last; ++First)
    for (const auto &Token : http::token_list(First->value()))
      Named.emplace_back(Token);
  for (const std::string &Name : Named)
    if (!isFraming(Name))
      Fields.erase(Name);
  Fields.erase(http::field::connection);
  Fields.erase(http::field::proxy_connection);
  Fields.erase(http::field::keep_alive);
  Fields.erase(http::field::te);
  Fields.erase(http::field::trailer);
  Fields.erase(http::field::upgrade);
  Fields.erase(http::field::proxy_authenticate);
  Fields.erase(http::field::proxy_authorization);
}

void removeSecrets(http::fields &Fields) {
  Fields.erase(boost::beast::string_view(KeyField.data(), KeyField.size()));
}

} // namespace peridot
