#include "protocol/http/header_rules.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string>
#include <vector>

#include <boost/beast/http/rfc7230.hpp>

#include "protocol/http/beast_view.h"

namespace peridot {

namespace http = boost::beast::http;

namespace {

/// Whether the field frames the body; the serializer sets these fields.
bool isFraming(boost::beast::string_view Name) {
  return boost::beast::iequals(Name, "Transfer-Encoding") ||
         boost::beast::iequals(Name, "Content-Length");
}

/// Parses all of \p Text as a number of at least 0; nullopt if it is not one.
std::optional<std::int64_t> parseNumber(boost::beast::string_view Text) {
  std::int64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End || Number < 0)
    return std::nullopt;
  return Number;
}

/// Parses all of \p Text as a number of seconds, rounded up to milliseconds;
/// nullopt if it is not one.
std::optional<std::chrono::milliseconds> parseSeconds(std::string_view Text) {
  constexpr std::chrono::duration<double> MaxDecoded =
      std::chrono::hours(24 * 365);
  double Seconds = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed =
      std::from_chars(Text.data(), End, Seconds, std::chars_format::fixed);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End || !std::isfinite(Seconds))
    return std::nullopt;
  const std::chrono::duration<double> Decoded(Seconds);
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::clamp(Decoded, -MaxDecoded, MaxDecoded));
}

void eraseNamed(http::fields &Fields, std::string_view Name) {
  if (!Name.empty())
    Fields.erase(toBeast(Name));
}

void setNamed(http::fields &Fields, std::string_view Name,
              std::string_view Value) {
  if (!Name.empty())
    Fields.set(toBeast(Name), toBeast(Value));
}

} // namespace

void removeHopByHopFields(http::fields &Fields) {
  std::vector<std::string> ListedFields;
  for (auto [First, Last] = Fields.equal_range(http::field::connection);
       First != Last; ++First)
    for (const auto &Token : http::token_list(First->value()))
      ListedFields.emplace_back(Token);
  for (const std::string &Name : ListedFields)
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

void removeCredentials(http::fields &Fields, const http_dialect &Dialect) {
  eraseNamed(Fields, Dialect.KeyField);
}

void prepareForTarget(http::fields &Fields, const http_dialect &Dialect,
                      const forwarded_context &Context) {
  removeHopByHopFields(Fields);
  removeCredentials(Fields, Dialect);
  Fields.erase(http::field::expect);
  eraseNamed(Fields, Dialect.AccountField);
  if (!Context.Account.empty())
    setNamed(Fields, Dialect.AccountField, Context.Account);
  setNamed(Fields, Dialect.TargetDeadlineField,
           std::to_string(Context.TimeLeft.count()));
  if (!Dialect.CallerSetsAttemptId)
    setNamed(Fields, Dialect.AttemptField, Context.AttemptId);
  setNamed(Fields, Dialect.TargetIdentityField, Context.TargetName);
}

std::optional<std::string_view> readKey(const http::fields &Fields,
                                        const http_dialect &Dialect) {
  const auto Found = Fields.find(toBeast(Dialect.KeyField));
  if (Found == Fields.end() ||
      !boost::beast::iequals(
          Found->value().substr(
              0, std::min(Found->value().size(), Dialect.KeyScheme.size())),
          toBeast(Dialect.KeyScheme)))
    return std::nullopt;
  const auto Key = Found->value().substr(Dialect.KeyScheme.size());
  return std::string_view(Key.data(), Key.size());
}

std::optional<std::chrono::milliseconds>
readCallerDeadline(const http::fields &Fields, const http_dialect &Dialect) {
  if (Dialect.CallerDeadlineField.empty())
    return std::nullopt;
  const auto Found = Fields.find(toBeast(Dialect.CallerDeadlineField));
  if (Found == Fields.end())
    return std::nullopt;
  const auto Milliseconds = parseNumber(Found->value());
  if (!Milliseconds)
    return std::nullopt;
  return std::chrono::milliseconds(*Milliseconds);
}

std::optional<std::chrono::seconds> readKeepAlive(const http::fields &Fields) {
  constexpr std::string_view Name = "timeout=";
  const auto Value = Fields[http::field::keep_alive];
  const std::size_t At = Value.find(toBeast(Name));
  if (At == boost::beast::string_view::npos)
    return std::nullopt;
  const auto Rest = Value.substr(At + Name.size());
  const auto Seconds = parseNumber(Rest.substr(0, Rest.find_first_of(", ")));
  if (!Seconds)
    return std::nullopt;
  return std::chrono::seconds(*Seconds);
}

void prepareForCaller(http::fields &Fields, const http_dialect &Dialect) {
  removeHopByHopFields(Fields);
  eraseNamed(Fields, Dialect.TargetStateField);
  eraseNamed(Fields, Dialect.TargetLoadField);
  if (!Dialect.CallerSetsAttemptId)
    eraseNamed(Fields, Dialect.AttemptField);
  eraseNamed(Fields, Dialect.OutcomeField);
}

void readRequestedPause(const http::fields &Fields, unsigned Status,
                        target_report &Report) {
  if (Status != static_cast<unsigned>(http::status::service_unavailable))
    return;
  const auto Range = Fields.equal_range(http::field::retry_after);
  for (auto Field = Range.first; Field != Range.second; ++Field) {
    const auto Pause = parseSeconds(toStd(Field->value()));
    Report.HasUndecodablePause |= !Pause;
    Report.Pause = std::max(Report.Pause, Pause);
  }
}

std::string formatRetryAfter(std::chrono::milliseconds Delay,
                             const http_dialect &Dialect) {
  constexpr std::int64_t MillisPerSecond = 1'000;
  if (!Dialect.AllowsFractionalRetryAfter)
    return std::to_string((Delay.count() + MillisPerSecond - 1) /
                          MillisPerSecond);
  std::string Fraction =
      std::to_string(MillisPerSecond + Delay.count() % MillisPerSecond);
  Fraction[0] = '.';
  return std::to_string(Delay.count() / MillisPerSecond) + Fraction;
}

} // namespace peridot
