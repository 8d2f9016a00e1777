#include "protocol/platform_documents/platform_documents.h"

#include <optional>
#include <stdexcept>

#include <boost/json.hpp>

#include "protocol/text/usable_name.h"

namespace peridot {

namespace json = boost::json;

namespace {

std::string_view textOf(const json::value &Value) {
  const json::string &Text = Value.as_string();
  return {Text.data(), Text.size()};
}

template <typename Item, typename Encode>
json::array arrayOf(std::span<const Item> Items, Encode EncodeItem) {
  json::array Array;
  Array.reserve(Items.size());
  for (const Item &Each : Items)
    Array.push_back(EncodeItem(Each));
  return Array;
}

json::value text(std::string_view Text) {
  return json::value(json::string_view(Text.data(), Text.size()));
}

json::value encodeRoute(const route &Route) {
  return {{"path", text(Route.PathPrefix)},
          {"methods", arrayOf(std::span(Route.Methods), text)},
          {"repeatable", Route.IsRepeatable},
          {"large_responses", Route.HasLargeResponses},
          {"open", Route.IsOpen},
          {"deadline_ms", Route.Deadline.count()},
          {"max_body_bytes", Route.MaxBodyBytes}};
}

json::value encodeTarget(const target &Target) {
  return {{"name", text(Target.Name.view())},
          {"data_center", text(Target.DataCenter.view())},
          {"address", text(Target.Address)},
          {"port", Target.Port},
          {"slots", Target.Slots},
          {"max_connections", Target.MaxConnections}};
}

constexpr auto NameText = [](const auto &Name) { return text(Name.view()); };

json::value encodeAccount(const client_account &Account) {
  return {{"name", text(Account.Name.view())},
          {"rate", Account.Limit.RequestsPerSecond},
          {"burst", Account.Limit.Burst},
          {"weight", Account.Weight},
          {"keys", arrayOf(std::span(Account.Keys), NameText)},
          {"services", arrayOf(std::span(Account.Services), NameText)}};
}

route decodeRoute(const json::value &Value) {
  route Route;
  Route.PathPrefix = textOf(Value.at("path"));
  for (const json::value &Method : Value.at("methods").as_array())
    Route.Methods.emplace_back(textOf(Method));
  Route.IsRepeatable = Value.at("repeatable").as_bool();
  // Missing in documents of earlier versions.
  if (const json::value *Large =
          Value.as_object().if_contains("large_responses"))
    Route.HasLargeResponses = Large->as_bool();
  Route.IsOpen = Value.at("open").as_bool();
  Route.Deadline = std::chrono::milliseconds(
      Value.at("deadline_ms").to_number<std::int64_t>());
  Route.MaxBodyBytes = Value.at("max_body_bytes").to_number<std::uint64_t>();
  return Route;
}

/// Exception for a name that cannot be used; decodeWith() turns it into an
/// error.
struct unusable_name : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Returns the name in \p Value, which goes into header fields and log lines.
std::string_view usableNameOf(const json::value &Value) {
  const std::string_view Name = textOf(Value);
  if (!isUsableName(Name))
    throw unusable_name("a name has control characters or another form that "
                        "cannot be used");
  return Name;
}

target decodeTarget(const json::value &Value) {
  return {.Name = target_name(usableNameOf(Value.at("name"))),
          .DataCenter = data_center_name(usableNameOf(Value.at("data_center"))),
          .Address = std::string(textOf(Value.at("address"))),
          .Port = Value.at("port").to_number<std::uint16_t>(),
          .Slots = Value.at("slots").to_number<unsigned>(),
          .MaxConnections = Value.at("max_connections").to_number<unsigned>()};
}

client_account decodeAccount(const json::value &Value) {
  client_account Account;
  Account.Name = account_name(usableNameOf(Value.at("name")));
  Account.Limit = {.RequestsPerSecond = Value.at("rate").to_number<double>(),
                   .Burst = Value.at("burst").to_number<double>()};
  Account.Weight = Value.at("weight").to_number<unsigned>();
  for (const json::value &Digest : Value.at("keys").as_array())
    Account.Keys.emplace_back(textOf(Digest));
  for (const json::value &Name : Value.at("services").as_array())
    Account.Services.emplace_back(textOf(Name));
  return Account;
}

service_document documentFrom(const json::value &Value) {
  service_document Document;
  service &Service = Document.Service;
  Service.Name = service_name(usableNameOf(Value.at("service")));
  Service.FloorPercent = Value.at("floor_percent").to_number<unsigned>();
  Service.Ejection = textOf(Value.at("ejection")) == "fast"
                         ? ejection_mode::Fast
                         : ejection_mode::Careful;
  Service.ProbePath = textOf(Value.at("probe_path"));
  Service.EchoesAttemptId = Value.at("echoes_attempt_id").as_bool();
  for (const json::value &Route : Value.at("routes").as_array())
    Service.Routes.push_back(decodeRoute(Route));
  for (const json::value &Target : Value.at("targets").as_array())
    Service.Targets.push_back(decodeTarget(Target));
  for (const json::value &Account : Value.at("accounts").as_array())
    Document.Accounts.push_back(decodeAccount(Account));
  return Document;
}

configuration_manifest manifestFrom(const json::value &Value) {
  configuration_manifest Manifest;
  Manifest.Revision = {Value.at("revision").to_number<std::uint64_t>()};
  Manifest.PublishId = textOf(Value.at("publish_id"));
  Manifest.Author = textOf(Value.at("author"));
  Manifest.Reason = textOf(Value.at("reason"));
  for (const json::value &Entry : Value.at("documents").as_array())
    Manifest.Documents.push_back(
        {.Service = service_name(textOf(Entry.at("service"))),
         .Digest = std::string(textOf(Entry.at("digest")))});
  // Manifests of earlier versions do not have this field.
  if (const json::value *Revoked =
          Value.as_object().if_contains("revoked_keys"))
    for (const json::value &Digest : Revoked->as_array())
      Manifest.RevokedKeys.emplace_back(textOf(Digest));
  return Manifest;
}

std::uint16_t operatorPortOf(const json::value &Row) {
  const json::value *Port = Row.as_object().if_contains("operator_port");
  return Port ? Port->to_number<std::uint16_t>() : DefaultOperatorPort;
}

listed_vm vmFrom(const json::value &Value) {
  return {.Name = vm_name(usableNameOf(Value.at("name"))),
          .DataCenter = data_center_name(usableNameOf(Value.at("data_center"))),
          .Address = std::string(textOf(Value.at("address"))),
          .CallerPort = Value.at("caller_port").to_number<std::uint16_t>(),
          .PeerPort = Value.at("peer_port").to_number<std::uint16_t>(),
          .OperatorPort = operatorPortOf(Value),
          .State = textOf(Value.at("state")) == "leaving"
                       ? vm_list_state::Leaving
                       : vm_list_state::Live};
}

/// Returns nullopt for a row that cannot be decoded.
std::optional<listed_vm> tryVmFrom(const json::value &Row) {
  try {
    return vmFrom(Row);
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

/// Parses \p Json and decodes it with \p DecodeValue. Turns the exceptions that
/// Boost.JSON throws for unexpected types and missing members into an error.
template <typename Decode>
auto decodeWith(std::string_view Json, std::string_view ObjectName,
                Decode DecodeValue)
    -> result<decltype(DecodeValue(json::value()))> {
  try {
    return DecodeValue(
        json::parse(json::string_view(Json.data(), Json.size())));
  } catch (const std::exception &Error) {
    return fail(error_kind::Protocol,
                std::string(ObjectName) + " cannot be decoded: " + Error.what(),
                "publish again with a peridotctl of the VMs' version");
  }
}

} // namespace

std::string documentObjectName(std::string_view Digest) {
  return "document-" + std::string(Digest);
}

std::string encodeDocument(const service_document &Document) {
  const service &Service = Document.Service;
  return json::serialize(json::value{
      {"service", text(Service.Name.view())},
      {"floor_percent", Service.FloorPercent},
      {"ejection",
       Service.Ejection == ejection_mode::Fast ? "fast" : "careful"},
      {"probe_path", text(Service.ProbePath)},
      {"echoes_attempt_id", Service.EchoesAttemptId},
      {"routes", arrayOf(std::span(Service.Routes), encodeRoute)},
      {"targets", arrayOf(std::span(Service.Targets), encodeTarget)},
      {"accounts", arrayOf(std::span(Document.Accounts), encodeAccount)}});
}

result<service_document> decodeDocument(std::string_view Json) {
  return decodeWith(Json, "a service document", documentFrom);
}

std::string encodeManifest(const configuration_manifest &Manifest) {
  const auto EncodeEntry = [](const manifest_entry &Entry) -> json::value {
    return {{"service", text(Entry.Service.view())},
            {"digest", text(Entry.Digest)}};
  };
  return json::serialize(json::value{
      {"revision", Manifest.Revision.Value},
      {"publish_id", text(Manifest.PublishId)},
      {"author", text(Manifest.Author)},
      {"reason", text(Manifest.Reason)},
      {"documents", arrayOf(std::span(Manifest.Documents), EncodeEntry)},
      {"revoked_keys", arrayOf(std::span(Manifest.RevokedKeys), NameText)}});
}

result<configuration_manifest> decodeManifest(std::string_view Json) {
  return decodeWith(Json, "the configuration manifest", manifestFrom);
}

std::string encodeVmList(std::span<const listed_vm> Vms) {
  const auto EncodeVm = [](const listed_vm &Vm) -> json::value {
    return {{"name", text(Vm.Name.view())},
            {"data_center", text(Vm.DataCenter.view())},
            {"address", text(Vm.Address)},
            {"caller_port", Vm.CallerPort},
            {"peer_port", Vm.PeerPort},
            {"operator_port", Vm.OperatorPort},
            {"state", Vm.State == vm_list_state::Live ? "live" : "leaving"}};
  };
  return json::serialize(arrayOf(Vms, EncodeVm));
}

result<std::vector<listed_vm>> decodeVmList(std::string_view Json) {
  return decodeWith(Json, "the list of VMs", [](const json::value &Value) {
    std::vector<listed_vm> Vms;
    for (const json::value &Row : Value.as_array())
      if (auto Vm = tryVmFrom(Row))
        Vms.push_back(std::move(*Vm));
    return Vms;
  });
}

} // namespace peridot
