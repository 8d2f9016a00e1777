#include "protocol/operator_documents/operator_documents.h"

#include <array>
#include <cstdio>
#include <ctime>

#include <boost/json.hpp>

namespace peridot {

namespace json = boost::json;

namespace {

std::string textOf(const json::value &Row, std::string_view Key) {
  const json::string &Text =
      Row.at(json::string_view(Key.data(), Key.size())).as_string();
  return {Text.data(), Text.size()};
}

std::uint64_t numberOf(const json::value &Row, std::string_view Key) {
  return Row.at(json::string_view(Key.data(), Key.size()))
      .to_number<std::uint64_t>();
}

std::int64_t millisecondsOf(std::chrono::system_clock::time_point At) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             At.time_since_epoch())
      .count();
}

json::value encodeEntry(const journal_entry &Entry) {
  return {{"at_ms", millisecondsOf(Entry.At)},
          {"at", formatTime(Entry.At)},
          {"vm", Entry.Vm},
          {"decision", Entry.Decision},
          {"subject", Entry.Subject},
          {"name", Entry.Name},
          {"cause", Entry.Cause},
          {"evidence", Entry.Evidence},
          {"rule", Entry.Rule}};
}

journal_entry decodeEntry(const json::value &Row) {
  const std::chrono::milliseconds At(Row.at("at_ms").to_number<std::int64_t>());
  return {.At = std::chrono::system_clock::time_point(At),
          .Vm = textOf(Row, "vm"),
          .Decision = textOf(Row, "decision"),
          .Subject = textOf(Row, "subject"),
          .Name = textOf(Row, "name"),
          .Cause = textOf(Row, "cause"),
          .Evidence = textOf(Row, "evidence"),
          .Rule = textOf(Row, "rule")};
}

json::value encodeBurnRow(const subject_burn &Row) {
  json::array Windows;
  for (std::size_t Index = 0; Index < BurnWindows.size(); ++Index)
    Windows.push_back({{"minutes", BurnWindows[Index].count()},
                       {"good", Row.Totals[Index].Good},
                       {"bad", Row.Totals[Index].Bad}});
  return {{"service", Row.Subject.Service.str()},
          {"account", Row.Subject.Account.str()},
          {"windows", std::move(Windows)}};
}

subject_burn decodeBurnRow(const json::value &Row) {
  subject_burn Out{.Subject = {service_name(textOf(Row, "service")),
                               account_name(textOf(Row, "account"))}};
  const json::array &Windows = Row.at("windows").as_array();
  for (std::size_t Index = 0; Index < BurnWindows.size(); ++Index)
    Out.Totals[Index] = {
        Windows.at(Index).at("good").to_number<std::uint64_t>(),
        Windows.at(Index).at("bad").to_number<std::uint64_t>()};
  return Out;
}

template <typename Item, typename Encode>
std::string encodeRows(std::span<const Item> Items, Encode EncodeItem) {
  json::array Rows;
  Rows.reserve(Items.size());
  for (const Item &Each : Items)
    Rows.push_back(EncodeItem(Each));
  return json::serialize(Rows);
}

/// Parses \p Json and decodes it with \p DecodeValue. Turns the exceptions that
/// Boost.JSON throws for unexpected types and missing members into an error.
template <typename Decode>
auto decodeWith(std::string_view Json, Decode DecodeValue)
    -> result<decltype(DecodeValue(json::value()))> {
  try {
    return DecodeValue(
        json::parse(json::string_view(Json.data(), Json.size())));
  } catch (const std::exception &Error) {
    return fail(error_kind::Protocol,
                std::string("a VM's response cannot be decoded: ") +
                    Error.what(),
                "use a peridotctl of the VMs' version");
  }
}

template <typename Item, typename Decode>
result<std::vector<Item>> decodeRows(std::string_view Json, Decode DecodeItem) {
  return decodeWith(Json, [&](const json::value &Value) {
    std::vector<Item> Items;
    for (const json::value &Row : Value.as_array())
      Items.push_back(DecodeItem(Row));
    return Items;
  });
}

/// Earlier versions do not list them.
std::vector<data_center_name> evacuatedFrom(const json::value &Status) {
  std::vector<data_center_name> Evacuated;
  if (const json::value *Names = Status.as_object().if_contains("evacuated"))
    for (const json::value &Each : Names->as_array())
      Evacuated.emplace_back(std::string(Each.as_string()));
  return Evacuated;
}

vm_status statusFrom(const json::value &Value) {
  return {.Vm = {vm_name(textOf(Value, "vm")),
                 {Value.at("incarnation").to_number<std::uint64_t>()}},
          .DataCenter = data_center_name(textOf(Value, "data_center")),
          .Revision = {Value.at("revision").to_number<std::uint64_t>()},
          .KeysAreFresh = Value.at("keys_are_fresh").as_bool(),
          .Freshness = textOf(Value, "freshness"),
          .FreshnessEvidence = textOf(Value, "freshness_evidence"),
          .IsWatcher = Value.at("feeds").as_bool(),
          .Leaving = Value.at("leaving").as_bool(),
          .VmsListed = numberOf(Value, "vms_listed"),
          .VmsSuspected = numberOf(Value, "vms_suspected"),
          .SilentLinks = numberOf(Value, "silent_links"),
          .Shards = {.Owned = numberOf(Value, "shards_owned"),
                     .Acting = numberOf(Value, "shards_acting"),
                     .ActingFor = std::chrono::milliseconds(
                         Value.at("acting_for_ms").to_number<std::int64_t>())},
          .Evacuated = evacuatedFrom(Value)};
}

} // namespace

std::string formatTime(std::chrono::system_clock::time_point At) {
  const std::time_t Seconds = std::chrono::system_clock::to_time_t(
      std::chrono::floor<std::chrono::seconds>(At));
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, 32> Date{};
  std::strftime(Date.data(), Date.size(), "%Y-%m-%dT%H:%M:%S", &Parts);
  std::array<char, 8> Fraction{};
  std::snprintf(Fraction.data(), Fraction.size(), ".%03dZ",
                static_cast<int>(millisecondsOf(At) % 1000));
  return std::string(Date.data()) + Fraction.data();
}

journal_entry makeJournalEntry(const vm_name &Vm, const decision &Decision) {
  return {.At = Decision.At,
          .Vm = Vm.str(),
          .Decision = std::string(nameOf(Decision.Kind)),
          .Subject = std::string(nameOf(Decision.Subject)),
          .Name = Decision.Name,
          .Cause = Decision.Cause,
          .Evidence = Decision.Evidence,
          .Rule = Decision.Rule};
}

std::string encodeStatus(const vm_status &Status) {
  json::array Evacuated;
  for (const data_center_name &Each : Status.Evacuated)
    Evacuated.emplace_back(Each.str());
  return json::serialize(
      json::value{{"vm", Status.Vm.Vm.str()},
                  {"incarnation", Status.Vm.Incarnation.Value},
                  {"data_center", Status.DataCenter.str()},
                  {"revision", Status.Revision.Value},
                  {"keys_are_fresh", Status.KeysAreFresh},
                  {"freshness", Status.Freshness},
                  {"freshness_evidence", Status.FreshnessEvidence},
                  {"feeds", Status.IsWatcher},
                  {"leaving", Status.Leaving},
                  {"vms_listed", Status.VmsListed},
                  {"vms_suspected", Status.VmsSuspected},
                  {"silent_links", Status.SilentLinks},
                  {"shards_owned", Status.Shards.Owned},
                  {"shards_acting", Status.Shards.Acting},
                  {"acting_for_ms", Status.Shards.ActingFor.count()},
                  {"evacuated", std::move(Evacuated)}});
}

result<vm_status> decodeStatus(std::string_view Json) {
  return decodeWith(Json, statusFrom);
}

std::string encodeJournal(std::span<const journal_entry> Entries) {
  return encodeRows(Entries, encodeEntry);
}

result<std::vector<journal_entry>> decodeJournal(std::string_view Json) {
  return decodeRows<journal_entry>(Json, decodeEntry);
}

std::string encodeBurn(std::span<const subject_burn> Rows) {
  return encodeRows(Rows, encodeBurnRow);
}

result<std::vector<subject_burn>> decodeBurn(std::string_view Json) {
  return decodeRows<subject_burn>(Json, decodeBurnRow);
}

} // namespace peridot
