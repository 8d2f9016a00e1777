#include "protocol/service_files/service_file_reader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>

#include "protocol/service_files/internal/table_reader.h"

namespace peridot {

namespace {

constexpr std::int64_t MaxDeadlineMs = 600'000;
constexpr std::int64_t MaxBodyBytes = std::int64_t{64} << 30;
constexpr std::int64_t MaxSlots = 10'000;
constexpr std::int64_t MaxConnections = 100'000;
constexpr std::int64_t MaxWeight = 1'000;
constexpr std::size_t DigestHexDigits = 64;

bool isIpAddress(const std::string &Text) {
  in6_addr Buffer{};
  return inet_pton(AF_INET, Text.c_str(), &Buffer) == 1 ||
         inet_pton(AF_INET6, Text.c_str(), &Buffer) == 1;
}

bool isDigest(std::string_view Text) {
  return Text.size() == DigestHexDigits &&
         std::ranges::all_of(Text, [](unsigned char Digit) {
           return std::isdigit(Digit) || (Digit >= 'a' && Digit <= 'f');
         });
}

route readRoute(table_reader Reader) {
  route Route;
  Route.PathPrefix = Reader.requireString("path");
  if (!Route.PathPrefix.empty() && Route.PathPrefix.front() != '/')
    Reader.addFault(Reader.find("path"), "'path' does not start with '/'",
                    "write an absolute path");
  Route.Methods = Reader.stringsOrEmpty("methods");
  Route.IsRepeatable = Reader.boolOr("repeatable", false);
  Route.HasLargeResponses = Reader.boolOr("large_responses", false);
  Route.IsOpen = Reader.boolOr("open", false);
  Route.Deadline = std::chrono::milliseconds(Reader.integerOr(
      "deadline_ms", Route.Deadline.count(), 1, MaxDeadlineMs));
  Route.MaxBodyBytes = static_cast<std::uint64_t>(Reader.integerOr(
      "max_body_bytes", static_cast<std::int64_t>(Route.MaxBodyBytes), 0,
      MaxBodyBytes));
  Reader.reportUnknownKeys();
  return Route;
}

target readTarget(table_reader Reader) {
  target Target;
  Target.Name = target_name(Reader.requireName("name"));
  Target.DataCenter = data_center_name(Reader.requireName("data_center"));
  Target.Address = Reader.requireString("address");
  if (!Target.Address.empty() && !isIpAddress(Target.Address))
    Reader.addFault(Reader.find("address"), "'address' is not an IP address",
                    "write an IPv4 or IPv6 address, not a host name");
  Target.Port =
      static_cast<std::uint16_t>(Reader.requireInteger("port", 1, 65'535));
  Target.Slots = static_cast<unsigned>(
      Reader.integerOr("slots", Target.Slots, 1, MaxSlots));
  Target.MaxConnections = static_cast<unsigned>(Reader.integerOr(
      "max_connections", Target.MaxConnections, 1, MaxConnections));
  Reader.reportUnknownKeys();
  return Target;
}

client_account readAccount(table_reader Reader,
                           const service_name &DeclaringService) {
  client_account Account;
  Account.Name = account_name(Reader.requireName("name"));
  Account.Limit = {.RequestsPerSecond = Reader.requirePositive("rate"),
                   .Burst = Reader.requirePositive("burst")};
  Account.Weight =
      static_cast<unsigned>(Reader.integerOr("weight", 1, 1, MaxWeight));
  for (const std::string &Digest : Reader.stringsOrEmpty("keys")) {
    if (!isDigest(Digest))
      Reader.addFault(Reader.find("keys"), "a key is not a SHA-256 digest",
                      "use the output of 'peridotctl keys digest'");
    Account.Keys.emplace_back(Digest);
  }
  Account.Services = {DeclaringService};
  for (const std::string &Name : Reader.stringsOrEmpty("services"))
    if (service_name Service(Name); Service != DeclaringService)
      Account.Services.push_back(std::move(Service));
  Reader.reportUnknownKeys();
  return Account;
}

ejection_mode readEjection(table_reader &Reader) {
  const std::string Text = Reader.stringOr("ejection", "careful");
  if (Text != "fast" && Text != "careful")
    Reader.addFault(Reader.find("ejection"), "'ejection' is not a known mode",
                    "use \"fast\" or \"careful\"");
  return Text == "fast" ? ejection_mode::Fast : ejection_mode::Careful;
}

service_document readDocument(std::string_view File, const toml::table &Root,
                              file_faults &Faults) {
  table_reader Reader(File, Root, Faults);
  service_document Document;
  service &Service = Document.Service;
  Service.Name = service_name(Reader.requireName("service"));
  Service.FloorPercent = static_cast<unsigned>(
      Reader.integerOr("floor_percent", Service.FloorPercent, 0, 100));
  Service.Ejection = readEjection(Reader);
  Service.ProbePath = Reader.stringOr("probe_path", Service.ProbePath);
  Service.EchoesAttemptId = Reader.boolOr("echoes_attempt_id", false);
  for (const toml::table *Table : Reader.tablesOrEmpty("route"))
    Service.Routes.push_back(readRoute({File, *Table, Faults}));
  for (const toml::table *Table : Reader.tablesOrEmpty("target"))
    Service.Targets.push_back(readTarget({File, *Table, Faults}));
  for (const toml::table *Table : Reader.tablesOrEmpty("account"))
    Document.Accounts.push_back(
        readAccount({File, *Table, Faults}, Service.Name));
  Reader.reportUnknownKeys();
  return Document;
}

file_fault syntaxFault(std::string_view File, const toml::parse_error &Error) {
  return {.File = std::string(File),
          .Line = Error.source().begin.line,
          .Column = Error.source().begin.column,
          .Message = std::string(Error.description()),
          .Remedy = "correct the TOML syntax"};
}

} // namespace

std::string file_fault::text() const {
  return File + ":" + std::to_string(Line) + ":" + std::to_string(Column) +
         ": " + Message + "; " + Remedy;
}

tl::expected<service_document, file_faults>
readServiceFile(std::string_view File, std::string_view Toml) {
  file_faults Faults;
  try {
    const toml::table Root = toml::parse(Toml);
    service_document Document = readDocument(File, Root, Faults);
    if (Faults.empty())
      return Document;
  } catch (const toml::parse_error &Error) {
    Faults.push_back(syntaxFault(File, Error));
  }
  return tl::unexpected<file_faults>(std::move(Faults));
}

} // namespace peridot
