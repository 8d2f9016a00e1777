#include "transport/logging/event_log.h"

#include <chrono>
#include <cstdio>
#include <ctime>
#include <string>

#include <poll.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <glog/logging.h>

#include "protocol/text/utf8.h"
#include "state/base/types/overloaded.h"
#include "transport/logging/log_limiter.h"
#include "transport/runtime/timer_service.h"

namespace peridot {

namespace json = boost::json;

namespace {

/// Longer text values of fields are truncated.
constexpr std::size_t MaxTextBytes = 512;

log_limiter &limiter() {
  static log_limiter Limiter;
  return Limiter;
}

/// Name of this VM for the log lines. Written only before any thread starts.
std::string &loggedVm() {
  static std::string Name;
  return Name;
}

/// Whether standard output takes a line without blocking.
bool isOutputWritable() {
  pollfd Output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
  return poll(&Output, 1, 0) == 1 && (Output.revents & POLLOUT) != 0;
}

std::string_view nameOf(log_level Level) {
  switch (Level) {
  case log_level::Info:
    return "info";
  case log_level::Warning:
    return "warning";
  case log_level::Error:
    return "error";
  }
  return "error";
}

json::string_view toJsonView(std::string_view Text) {
  return {Text.data(), Text.size()};
}

/// Formats a time as ISO 8601 in UTC, with milliseconds.
std::string timestamp(std::chrono::system_clock::time_point At) {
  const auto Millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                          At.time_since_epoch())
                          .count();
  const std::time_t Seconds = Millis / 1000;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Text[32];
  const std::size_t Length =
      std::strftime(Text, sizeof(Text), "%Y-%m-%dT%H:%M:%S", &Parts);
  std::string Fraction = std::to_string(1000 + Millis % 1000);
  Fraction[0] = '.';
  return std::string(Text, Length) + Fraction + "Z";
}

/// Truncates a text and makes it valid UTF-8, as names and causes may come from
/// outside.
json::value toJsonText(std::string_view Text) {
  const std::string Valid = replaceInvalidUtf8(Text.substr(0, MaxTextBytes));
  return json::value(toJsonView(Valid));
}

json::value toJson(const log_field &Field) {
  return std::visit(overloaded{[](std::string_view Text) {
                                 return json::value(toJsonText(Text));
                               },
                               [](auto Scalar) { return json::value(Scalar); }},
                    Field.Value);
}

void writeLine(log_level Level, const std::string &Line) {
  switch (Level) {
  case log_level::Info:
    LOG(INFO) << Line;
    return;
  case log_level::Warning:
    LOG(WARNING) << Line;
    return;
  case log_level::Error:
    LOG(ERROR) << Line;
    return;
  }
}

void writeEvent(log_level Level, std::string_view Event,
                std::initializer_list<log_field> Fields) {
  if (!isOutputWritable()) {
    limiter().countDropped(Event);
    return;
  }
  json::object Line;
  Line["time"] = timestamp(std::chrono::system_clock::now());
  Line["level"] = toJsonView(nameOf(Level));
  if (!loggedVm().empty())
    Line["vm"] = toJsonView(loggedVm());
  Line["event"] = toJsonView(Event);
  for (const log_field &Field : Fields)
    Line[toJsonView(Field.Key)] = toJson(Field);
  writeLine(Level, json::serialize(Line));
}

} // namespace

void startEventLog(const char *ProgramName, std::string_view Vm) {
  loggedVm() = Vm;
  // Line buffering: each line is written as a whole as soon as it ends.
  std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
  FLAGS_logtostdout = true;
  FLAGS_log_prefix = false;
  google::InitGoogleLogging(ProgramName);
}

void logEvent(log_level Level, std::string_view Event,
              std::initializer_list<log_field> Fields) {
  const instant Now = bootNow();
  for (const dropped_lines &Each : limiter().takeDropped(Now))
    writeEvent(log_level::Warning, "log-lines-left-out",
               {{"of", std::string_view(Each.Event)},
                {"lines", static_cast<std::int64_t>(Each.Count)}});
  if (limiter().admit(Event, Now))
    writeEvent(Level, Event, Fields);
}

void logHandlerFailure(std::string_view Cause) {
  logEvent(log_level::Error, "handler-failed", {{"cause", Cause}});
}

void logError(std::string_view Event, const error &Error) {
  logEvent(log_level::Error, Event,
           {{"kind", nameOf(Error.Kind)},
            {"message", std::string_view(Error.Message)},
            {"remedy", std::string_view(Error.Remedy)}});
}

void logDecision(const decision &Decision) {
  logEvent(log_level::Info, nameOf(Decision.Kind),
           {{"subject", nameOf(Decision.Subject)},
            {"name", std::string_view(Decision.Name)},
            {"cause", std::string_view(Decision.Cause)},
            {"evidence", std::string_view(Decision.Evidence)},
            {"rule", std::string_view(Decision.Rule)}});
}

} // namespace peridot
