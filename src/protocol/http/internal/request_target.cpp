#include "protocol/http/request_target.h"

#include <algorithm>

#include <boost/url/encode.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace peridot {

namespace urls = boost::urls;

namespace {

urls::string_view view(std::string_view Text) {
  return {Text.data(), Text.size()};
}

/// Encodes all characters that have a meaning in some part of a URL.
std::string encode(std::string_view Text) {
  return urls::encode(view(Text), urls::unreserved_chars);
}

std::string decode(std::string_view Text) {
  const auto Encoded = urls::make_pct_string_view(view(Text));
  if (!Encoded)
    return std::string(Text);
  urls::encoding_opts Options;
  Options.space_as_plus = true;
  return Encoded->decode(Options);
}

} // namespace

request_target &request_target::addSegment(std::string_view Segment) {
  Text += "/" + encode(Segment);
  return *this;
}

request_target &request_target::addParameter(std::string_view Name,
                                             std::string_view Value) {
  Text += HasQuery ? "&" : "?";
  Text += encode(Name) + "=" + encode(Value);
  HasQuery = true;
  return *this;
}

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

std::string queryValue(std::string_view Target, std::string_view Name) {
  const std::size_t QueryStart = Target.find('?');
  std::string_view Query =
      QueryStart == Target.npos ? "" : Target.substr(QueryStart + 1);
  while (!Query.empty()) {
    const std::string_view Pair = Query.substr(0, Query.find('&'));
    const std::size_t Equals = Pair.find('=');
    if (Equals != Pair.npos && decode(Pair.substr(0, Equals)) == Name)
      return decode(Pair.substr(Equals + 1));
    Query.remove_prefix(std::min(Query.size(), Pair.size() + 1));
  }
  return {};
}

} // namespace peridot
