#include "protocol/http/types/http_dialect.h"

#include <charconv>

#include <boost/beast/core/string.hpp>

#include "protocol/http/beast_view.h"
#include "protocol/http/header_rules.h"

namespace peridot {

namespace {

constexpr std::string_view StateField = "Peridot-Target-State";
constexpr std::string_view LoadField = "Peridot-Target-Load";

/// Returns a load from 0 to 1, or -1 if \p Text is not a valid load.
double parseLoad(boost::beast::string_view Text) {
  double Load = -1;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Load);
  const bool Valid = Parsed.ec == std::errc{} && Parsed.ptr == End;
  return Valid && Load >= 0 && Load <= 1 ? Load : -1;
}

target_report readReport(const boost::beast::http::fields &Fields,
                         unsigned Status) {
  constexpr unsigned ServiceUnavailable = 503;
  const auto State = Fields[toBeast(StateField)];
  target_report Report{.Shed = Status == ServiceUnavailable &&
                               boost::beast::iequals(State, "shed"),
                       .Draining = boost::beast::iequals(State, "draining"),
                       .Load = parseLoad(Fields[toBeast(LoadField)])};
  readRequestedPause(Fields, Status, Report);
  return Report;
}

} // namespace

const http_dialect &nativeDialect() {
  static const http_dialect Dialect{.AddressesPath = "/peridot/v1/addresses",
                                    .KeyField = "Peridot-Key",
                                    .AccountField = "Peridot-Account",
                                    .TargetDeadlineField =
                                        "Peridot-Deadline-Ms",
                                    .AttemptField = "Peridot-Attempt-Id",
                                    .OutcomeField = "Peridot-Outcome",
                                    .TargetStateField = StateField,
                                    .TargetLoadField = LoadField,
                                    .ReadReport = readReport};
  return Dialect;
}

} // namespace peridot
