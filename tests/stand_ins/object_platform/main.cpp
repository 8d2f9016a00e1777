/// \file
/// Stand-in for an object platform such as Hivecrest's. It lists, watches,
/// creates, replaces and removes objects; tests set faults under /admin/faults,
/// how it lists objects under /admin/lists, and proxies in front of VMs' peer
/// ports under /admin/peer_proxy.

#include <map>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <gflags/gflags.h>

#include "stand_ins/http_server.h"
#include "stand_ins/object_platform/object_history.h"

DEFINE_int32(port, 0, "Port to listen on; 0: any free port");

namespace peridot::stand_in {

namespace {

namespace json = boost::json;
namespace http = boost::beast::http;

constexpr std::string_view ObjectsPath = "/v1/objects/";
constexpr std::chrono::milliseconds WatchPollInterval{5};
/// Delay of responses while the platform is silent.
constexpr std::chrono::minutes SilentDelay{10};

/// Faults that a test sets.
struct store_faults {
  bool IsDown = false;    ///< Responds 503.
  bool IsSilent = false;  ///< Sends no response to requests received now.
  std::string SilentKind; ///< As IsSilent, for calls of one kind only.
  std::chrono::milliseconds Delay{0};
  /// Number of writes that are applied but get no response.
  unsigned ResponsesToLose = 0;
  /// Keeps writes of nodes back, without a response, until "release" is set.
  bool HoldsWrites = false;
};

constexpr std::size_t DefaultPageSize = 500;

/// How the store lists objects and reads queries; set by a test, and kept until
/// the test sets it again.
struct list_behaviour {
  std::size_t PageSize = DefaultPageSize; ///< Objects on a page.
  /// Responds 400 to a query that cannot be decoded, instead of leaving out the
  /// parameter.
  bool IsStrict = false;
  /// Starts each page with the first object, whatever the query says.
  bool IgnoresAfter = false;
  /// Lists and watches show a number in place of names that begin so; empty:
  /// all names are shown.
  std::string HiddenPrefix;
  std::string RefusedKind; ///< Lists of this kind are refused with 400.
};

bool isSet(std::string_view Target, std::string_view Name) {
  return queryValue(Target, Name, "0") == "1";
}

class object_platform {
public:
  explicit object_platform(boost::asio::io_context &Loop) : Loop(Loop) {}

  task<handler_result> handle(const http_request &Request) {
    const std::string Target(Request.target());
    handler_result Result;
    if (Target.starts_with("/admin/")) {
      Result.Response = handleAdminRequest(Target);
      co_return Result;
    }
    if (Lists.IsStrict && !isQueryDecodable(Target)) {
      Result.Response = textResponse(400, "{}");
      co_return Result;
    }
    const bool IsRead = Request.method() == http::verb::get;
    // Faults do not affect writes of the operator and of targets.
    if (!IsRead && !parse(Target).first.starts_with("peridot")) {
      Result.Response = write(Request, Target);
      co_return Result;
    }
    ++CallCount;
    ++CallsByKind[parse(Target).first];
    if (!IsRead && Faults.HoldsWrites) {
      HeldWrites.push_back(Request);
      co_await pause(SilentDelay);
    }
    co_await pause(isSilentFor(Target) ? SilentDelay : Faults.Delay);
    if (Faults.IsDown) {
      Result.Response = textResponse(503, "{}");
    } else if (IsRead) {
      http_response Response = co_await read(Target);
      Result.Response = std::move(Response);
    } else {
      Result.Response = write(Request, Target);
      Result.ShouldDropResponse = Faults.ResponsesToLose > 0;
      Faults.ResponsesToLose -= Result.ShouldDropResponse ? 1 : 0;
    }
    co_return Result;
  }

private:
  bool isSilentFor(const std::string &Target) const {
    return Faults.IsSilent || parse(Target).first == Faults.SilentKind;
  }

  task<void> pause(std::chrono::milliseconds Time) const {
    if (Time.count() == 0)
      co_return;
    boost::asio::steady_timer Timer(Loop, Time);
    co_await Timer.async_wait(UseTaskTuple);
  }

  http_response list(const std::string &Kind, const std::string &After) const {
    const auto Page =
        Objects.list(Kind, Lists.IgnoresAfter ? "" : After, Lists.PageSize);
    json::array Items;
    for (const json::value &Each : Page.Items)
      Items.push_back(shown(Each));
    return jsonResponse({{"items", std::move(Items)},
                         {"has-more", Page.HasMore},
                         {"store-revision", Objects.revision()}});
  }

  /// Returns an object as lists and watches show it.
  json::value shown(json::value Object) const {
    json::value &Name = Object.at("metadata").at("name");
    if (!Lists.HiddenPrefix.empty() &&
        Name.as_string().starts_with(Lists.HiddenPrefix))
      Name = 7;
    return Object;
  }

  /// Returns nullopt while the watch must wait, with neither an event nor an
  /// expired wait time. A deaf watch ignores events.
  std::optional<http_response> pollWatch(const std::string &Kind,
                                         std::uint64_t After, bool IsDeaf,
                                         bool HasExpired) const {
    const auto Events = Objects.events(Kind, After);
    if (!Events)
      return textResponse(410, "{}");
    if ((Events->empty() || IsDeaf) && !HasExpired)
      return std::nullopt;
    json::array Shown;
    for (const json::value &Each : *Events)
      Shown.push_back({{"object", shown(Each.at("object"))},
                       {"deleted", Each.at("deleted")}});
    return jsonResponse(
        {{"events", std::move(Shown)}, {"store-revision", Objects.revision()}});
  }

  /// Returns kind and name from a path; the name is empty for a whole kind.
  static std::pair<std::string, std::string> parse(std::string_view Target) {
    const std::string_view Path = pathOf(Target);
    const std::string Rest(
        Path.substr(std::min(ObjectsPath.size(), Path.size())));
    const std::size_t Slash = std::min(Rest.find('/'), Rest.size());
    return {Rest.substr(0, Slash),
            decodeSegment(Rest.substr(std::min(Slash + 1, Rest.size())))};
  }

  task<http_response> read(const std::string &Target) {
    const std::string Kind = parse(Target).first;
    const std::string After = queryValue(Target, "watch", "");
    if (After.empty() && Kind == Lists.RefusedKind)
      co_return textResponse(400, "{}");
    if (After.empty())
      co_return list(Kind, queryValue(Target, "after", ""));
    const std::chrono::milliseconds Wait(
        std::stoul(queryValue(Target, "wait-ms", "0")));
    const auto Deadline = std::chrono::steady_clock::now() + Wait;
    const unsigned &KindGeneration = DeafGenerations[Kind];
    const unsigned Generation = KindGeneration;
    std::optional<http_response> Response;
    while (!Response) {
      co_await pause(WatchPollInterval);
      Response =
          pollWatch(Kind, std::stoull(After), Generation != KindGeneration,
                    std::chrono::steady_clock::now() >= Deadline);
    }
    co_return std::move(*Response);
  }

  http_response write(const http_request &Request, const std::string &Target) {
    const auto [Kind, Name] = parse(Target);
    const json::value *Stored = Objects.find(Kind, Name);
    if (Request.method() == http::verb::delete_) {
      if (Stored &&
          !isConditionMet(queryValue(Target, "revision", ""), *Stored))
        return conflict(*Stored);
      return textResponse(Objects.remove(Kind, Name) ? 200 : 404, "{}");
    }
    json::value Body = json::parse(Request.body());
    if (Kind == "peridot-vms")
      replacePeerPort(Body);
    if (Stored && !isConditionMet(revisionIn(Body), *Stored))
      return conflict(*Stored);
    if (Request.method() == http::verb::put)
      return jsonResponse(Objects.replace(Kind, Name, std::move(Body)));
    const std::string CreatedName(Body.at("metadata").at("name").as_string());
    if (auto Created = Objects.create(Kind, std::move(Body)))
      return jsonResponse(*Created);
    return conflict(*Objects.find(Kind, CreatedName));
  }

  static http_response conflict(const json::value &Stored) {
    http_response Response = jsonResponse(Stored);
    Response.result(http::status::conflict);
    return Response;
  }

  /// Returns the revision in an object's metadata; empty if it has none.
  static std::string revisionIn(const json::value &Object) {
    const json::value *Metadata = Object.as_object().if_contains("metadata");
    const json::value *Revision =
        Metadata ? Metadata->as_object().if_contains("revision") : nullptr;
    return Revision ? json::serialize(*Revision) : "";
  }

  /// \param Condition revision that the object must have; empty: any.
  static bool isConditionMet(const std::string &Condition,
                             const json::value &Stored) {
    return Condition.empty() || Condition == revisionIn(Stored);
  }

  /// Makes a VM's entry name the proxy of its peer port, if there is one. Not
  /// every object of the kind is an entry.
  void replacePeerPort(json::value &Object) const {
    json::value *Port = Object.at("spec").as_object().if_contains("peer-port");
    if (!Port)
      return;
    const auto Proxy = PeerProxies.find(Port->to_number<unsigned>());
    if (Proxy != PeerProxies.end())
      *Port = Proxy->second;
  }

  /// Carries out the writes that were kept back; their callers have left.
  void releaseWrites() {
    for (const http_request &Each : std::exchange(HeldWrites, {}))
      write(Each, std::string(Each.target()));
  }

  static http_response jsonResponse(const json::value &Body) {
    return textResponse(200, json::serialize(Body));
  }

  static unsigned number(const std::string &Target, std::string_view Name) {
    return static_cast<unsigned>(std::stoul(queryValue(Target, Name, "0")));
  }

  http_response handleAdminRequest(const std::string &Target) {
    if (pathOf(Target) == "/admin/calls") {
      const std::string Kind = queryValue(Target, "kind", "");
      const auto Count = Kind.empty() ? CallCount : CallsByKind[Kind];
      return textResponse(200, "{\"calls\":" + std::to_string(Count) + "}");
    }
    if (pathOf(Target) == "/admin/peer_proxy") {
      PeerProxies[number(Target, "port")] = number(Target, "proxy");
      return textResponse(200, "");
    }
    if (pathOf(Target) == "/admin/lists") {
      Lists = {.PageSize = std::stoul(queryValue(
                   Target, "page_size", std::to_string(DefaultPageSize))),
               .IsStrict = isSet(Target, "strict"),
               .IgnoresAfter = isSet(Target, "ignore_after"),
               .HiddenPrefix = queryValue(Target, "hidden_prefix", ""),
               .RefusedKind = queryValue(Target, "refused_kind", "")};
      return textResponse(200, "");
    }
    Faults = {.IsDown = isSet(Target, "down"),
              .IsSilent = isSet(Target, "silent"),
              .SilentKind = queryValue(Target, "silent_kind", ""),
              .Delay = std::chrono::milliseconds(
                  std::stoul(queryValue(Target, "delay_ms", "0"))),
              .ResponsesToLose = static_cast<unsigned>(
                  std::stoul(queryValue(Target, "lose_answers", "0"))),
              .HoldsWrites = isSet(Target, "hold_writes")};
    if (isSet(Target, "release"))
      releaseWrites();
    const std::string DeafKind = queryValue(Target, "deaf_kind", "");
    for (auto &[Kind, Generation] : DeafGenerations)
      if (isSet(Target, "deaf") || Kind == DeafKind)
        ++Generation;
    if (isSet(Target, "forget"))
      Objects.discardHistory();
    return textResponse(200, "");
  }

  boost::asio::io_context &Loop;
  object_history Objects;
  store_faults Faults;
  list_behaviour Lists;
  std::vector<http_request> HeldWrites;
  /// By kind; incremented by the faults "deaf" (all kinds) and "deaf_kind" (one
  /// kind). Watches started earlier get no events.
  std::map<std::string, unsigned> DeafGenerations;
  std::uint64_t CallCount = 0;
  std::map<std::string, std::uint64_t> CallsByKind;
  /// By peer port of a VM: port of the proxy in front of it.
  std::map<unsigned, unsigned> PeerProxies;
};

} // namespace

} // namespace peridot::stand_in

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  boost::asio::io_context Loop(1);
  peridot::stand_in::object_platform Platform(Loop);
  peridot::stand_in::serveHttp(
      Loop, static_cast<std::uint16_t>(FLAGS_port),
      [&](const auto &Request) { return Platform.handle(Request); });
  Loop.run();
}
