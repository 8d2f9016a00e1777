#include "protocol/http/header_rules.h"

#include <charconv>
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

boost::beast::string_view toBeast(std::string_view Text) {
  return {Text.data(), Text.size()};
}

/// Load from 0 to 1, or -1 when \p Text is none.
double parseLoad(boost::beast::string_view Text) {
  double Load = -1;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Load);
  const bool Valid = Parsed.ec == std::errc{} && Parsed.ptr == End;
  return Valid && Load >= 0 && Load <= 1 ? Load : -1;
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

void removeSecrets(http::fields &Fields) { Fields.erase(toBeast(KeyField)); }

void prepareForTarget(http::fields &Fields, const forwarded_context &Context) {
  removeHopByHopFields(Fields);
  removeSecrets(Fields);
  Fields.erase(http::field::expect);
  Fields.erase(toBeast(AccountField));
  if (!Context.Account.empty())
    Fields.set(toBeast(AccountField), toBeast(Context.Account));
  Fields.set(toBeast(DeadlineField), std::to_string(Context.TimeLeft.count()));
  Fields.set(toBeast(AttemptField), toBeast(Context.AttemptId));
}

bool answersAttempt(const http::fields &Fields, std::string_view AttemptId) {
  return Fields[toBeast(AttemptField)] == toBeast(AttemptId);
}

void prepareForCaller(http::fields &Fields) {
  removeHopByHopFields(Fields);
  Fields.erase(toBeast(TargetStateField));
  Fields.erase(toBeast(TargetLoadField));
  Fields.erase(toBeast(AttemptField));
  Fields.erase(toBeast(OutcomeField));
}

target_report readTargetReport(const http::fields &Fields, unsigned Status) {
  constexpr unsigned ServiceUnavailable = 503;
  const auto State = Fields[toBeast(TargetStateField)];
  return {.Shed = Status == ServiceUnavailable &&
                  boost::beast::iequals(State, "shed"),
          .Draining = boost::beast::iequals(State, "draining"),
          .Load = parseLoad(Fields[toBeast(TargetLoadField)])};
}

} // namespace peridot
