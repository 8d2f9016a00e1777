#include "protocol/operator_documents/log_lines.h"

#include <cstdio>
#include <ctime>

#include <boost/json.hpp>

namespace peridot {

namespace json = boost::json;

namespace {

std::string textOf(const json::value &Value) {
  if (const json::string *Text = Value.if_string())
    return {Text->data(), Text->size()};
  return json::serialize(Value);
}

/// Parses a time in the format that event_log writes.
std::optional<std::chrono::system_clock::time_point>
timeFrom(const std::string &Text) {
  std::tm Parts{};
  int Millis = 0;
  if (std::sscanf(Text.c_str(), "%4d-%2d-%2dT%2d:%2d:%2d.%3dZ", &Parts.tm_year,
                  &Parts.tm_mon, &Parts.tm_mday, &Parts.tm_hour, &Parts.tm_min,
                  &Parts.tm_sec, &Millis) != 7)
    return std::nullopt;
  Parts.tm_year -= 1900;
  Parts.tm_mon -= 1;
  return std::chrono::system_clock::from_time_t(timegm(&Parts)) +
         std::chrono::milliseconds(Millis);
}

/// Removes a field from \p Line and returns its text; empty if missing.
std::string take(log_line &Line, const std::string &Key) {
  auto Found = Line.Fields.extract(Key);
  return Found ? std::move(Found.mapped()) : std::string();
}

} // namespace

std::string_view log_line::field(const std::string &Key) const {
  const auto Found = Fields.find(Key);
  return Found == Fields.end() ? std::string_view() : Found->second;
}

std::optional<log_line> decodeLogLine(std::string_view Text) {
  const std::size_t Start = Text.find('{');
  if (Start == std::string_view::npos)
    return std::nullopt;
  const std::string_view Json = Text.substr(Start);
  json::error_code Error;
  const json::value Value =
      json::parse(json::string_view(Json.data(), Json.size()), Error);
  const json::object *Object = Error ? nullptr : Value.if_object();
  if (!Object)
    return std::nullopt;
  log_line Line;
  for (const auto &Field : *Object)
    Line.Fields.emplace(std::string(Field.key().data(), Field.key().size()),
                        textOf(Field.value()));
  const auto At = timeFrom(take(Line, "time"));
  Line.Vm = take(Line, "vm");
  Line.Event = take(Line, "event");
  if (!At || Line.Event.empty())
    return std::nullopt;
  Line.At = *At;
  return Line;
}

} // namespace peridot
