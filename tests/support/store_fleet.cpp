#include "support/store_fleet.h"

#include <boost/json.hpp>

#include "support/free_port.h"

namespace peridot::test {

namespace json = boost::json;

namespace {

std::uint16_t portField(const std::string &Line, const std::string &Field) {
  return static_cast<std::uint16_t>(jsonInteger(Line, Field));
}

std::unique_ptr<running_proxy> startProxy(std::uint16_t Port,
                                          bool IsPeerLink = false) {
  auto Proxy = std::make_unique<running_proxy>();
  Proxy->Process = std::make_unique<process>(
      "fault_proxy",
      std::vector<std::string>{"--target_port=" + std::to_string(Port),
                               IsPeerLink ? "--peer_links" : "--nopeer_links"});
  Proxy->Port = static_cast<std::uint16_t>(
      jsonInteger(Proxy->Process->awaitLine("proxying"), "port"));
  Proxy->AdminPort = static_cast<std::uint16_t>(
      jsonInteger(Proxy->Process->awaitLine("listening"), "port"));
  return Proxy;
}

json::value routeTo(const std::string &Prefix, const char *Kind,
                    const std::string &Timeout) {
  return {{"resource-kind", "routes"},
          {"metadata", {{"name", Prefix}}},
          {"spec",
           {{"host", "fleet"},
            {"path-prefix", Prefix},
            {"service", "hive"},
            {"kind", Kind},
            {"timeout", Timeout},
            {"max-attempts", 2}}}};
}

} // namespace

store_fleet::store_fleet()
    : Platform(std::make_unique<process>("object_platform_stand_in",
                                         std::vector<std::string>{})) {
  PlatformPort = static_cast<std::uint16_t>(
      jsonInteger(Platform->awaitLine("listening"), "port"));
}

void store_fleet::put(const std::string &Path, const std::string &Body) const {
  httpCall(PlatformPort, {.Method = "PUT", .Path = Path, .Body = Body});
}

void store_fleet::writeConfiguration(
    int Version, const std::vector<store_account> &Accounts,
    const std::string &ExtraRoutePrefix) const {
  json::object Service{{"health-path", "/health"}};
  if (WarmUpPerSecond > 0) {
    Service["warmup"] = "3s";
    Service["warmup-per-s"] = WarmUpPerSecond;
  }
  json::array Resources{routeTo("/logs/", "idempotent", RouteTimeout),
                        routeTo("/dispatch/", "non_idempotent", RouteTimeout),
                        routeTo("/packs/", "download", RouteTimeout),
                        {{"resource-kind", "services"},
                         {"metadata", {{"name", "hive"}}},
                         {"spec", std::move(Service)}}};
  if (!ExtraRoutePrefix.empty())
    Resources.push_back(routeTo(ExtraRoutePrefix, "idempotent", RouteTimeout));
  for (const store_account &Each : Accounts) {
    json::array Keys(Each.Keys.begin(), Each.Keys.end());
    Resources.push_back({{"resource-kind", "tenants"},
                         {"metadata", {{"name", Each.Name}}},
                         {"spec",
                          {{"api-keys", std::move(Keys)},
                           {"rate-per-s", Each.RequestsPerSecond},
                           {"burst", Each.Burst}}}});
  }
  put("/v1/objects/config/main",
      json::serialize(json::value{
          {"spec",
           {{"version", Version}, {"resources", std::move(Resources)}}}}));
}

store_target &store_fleet::addTarget(const std::string &Name,
                                     const std::string &DataCenter, int Slots) {
  auto Added = std::make_unique<store_target>();
  Added->Slots = Slots;
  running_target &Target = Added->Target;
  Target.Name = Name;
  Target.DataCenter = DataCenter;
  Target.Process = std::make_unique<process>(
      "target_stand_in", std::vector<std::string>{"--name=" + Name});
  Target.Port = portField(Target.Process->awaitLine("listening"), "port");
  Added->Proxy = startProxy(Target.Port);
  Targets.push_back(std::move(Added));
  registerTarget(*Targets.back());
  return *Targets.back();
}

void store_fleet::registerTarget(const store_target &Target,
                                 const std::string &State) const {
  put("/v1/objects/servers/" + Target.Target.Name,
      json::serialize(json::value{
          {"spec",
           {{"address", "127.0.0.1:" + std::to_string(Target.Proxy->Port)},
            {"info",
             {{"service", "hive"},
              {"zone", Target.Target.DataCenter},
              {"version", "v1"},
              {"max-concurrency", Target.Slots}}},
            {"status",
             {{"state", State},
              {"sequence", 1},
              {"warmup-left", std::to_string(Target.WarmUpLeftMs) + "ms"}}},
            {"born", Target.Process}}}}));
}

void store_fleet::removeTarget(const store_target &Target) const {
  httpCall(PlatformPort, {.Method = "DELETE",
                          .Path = "/v1/objects/servers/" + Target.Target.Name});
}

void store_fleet::evacuate(const std::string &DataCenter) const {
  put("/v1/objects/evacuations/" + DataCenter, R"({"spec":{}})");
}

void store_fleet::endEvacuation(const std::string &DataCenter) const {
  httpCall(PlatformPort, {.Method = "DELETE",
                          .Path = "/v1/objects/evacuations/" + DataCenter});
}

void store_fleet::removeVm(const store_node &Node) const {
  httpCall(PlatformPort, {.Method = "DELETE",
                          .Path = "/v1/objects/peridot-vms/" + Node.Node.Name});
}

store_node &store_fleet::addNode(const std::string &Name,
                                 const std::string &DataCenter) {
  auto Added = std::make_unique<store_node>();
  Added->Node.Name = Name;
  Added->Node.DataCenter = DataCenter;
  Added->Node.CallerPort = freePort();
  Added->Node.PeerPort = freePort();
  Added->Node.OperatorPort = freePort();
  Added->Proxy = startProxy(PlatformPort);
  if (ProxiesPeers)
    addPeerProxy(*Added);
  Nodes.push_back(std::move(Added));
  restart(*Nodes.back());
  return *Nodes.back();
}

void store_fleet::addPeerProxy(store_node &Node) const {
  const std::uint16_t Port = Node.Node.PeerPort;
  Node.PeerProxy = startProxy(Port, true);
  httpCall(PlatformPort,
           {.Path = "/admin/peer_proxy?port=" + std::to_string(Port) +
                    "&proxy=" + std::to_string(Node.PeerProxy->Port)});
}

void store_fleet::restart(store_node &Each) const {
  running_node &Node = Each.Node;
  const auto Flag = [](const char *Name, std::uint16_t Value) {
    return std::string(Name) + std::to_string(Value);
  };
  Node.Process.reset();
  std::vector<std::string> Flags{"--adapter=hivecrest",
                                 "--vm=" + Node.Name,
                                 "--traffic_threads=" +
                                     std::to_string(Each.TrafficThreads),
                                 "--data_center=" + Node.DataCenter,
                                 "--platform_address=127.0.0.1",
                                 Flag("--platform_port=", Each.Proxy->Port),
                                 Flag("--caller_port=", Node.CallerPort),
                                 Flag("--peer_port=", Node.PeerPort),
                                 Flag("--operator_port=", Node.OperatorPort),
                                 "--address_ttl=200ms",
                                 "--shutdown_limit=4s",
                                 "--rate_window=5s",
                                 "--rate_share=0.1",
                                 "--rate_requests=20",
                                 "--retry_ratio=0.2",
                                 "--retry_extra=20"};
  Flags.insert(Flags.end(), NodeFlags.begin(), NodeFlags.end());
  Node.Process = std::make_unique<process>("peridotport", Flags);
  const std::string Line = Node.Process->awaitLine("\"listening\"");
  Node.CallerPort = portField(Line, "caller_port");
  Node.PeerPort = portField(Line, "peer_port");
  Node.OperatorPort = portField(Line, "operator_port");
}

void store_fleet::awaitReady(const store_node &Node) const {
  awaitCondition("readiness of " + Node.Node.Name, [&] {
    return httpCall(Node.Node.OperatorPort, {.Path = "/ready"}).Status == 200;
  });
}

void store_fleet::setPlatformFaults(const std::string &Query) const {
  httpCall(PlatformPort, {.Path = "/admin/faults?" + Query});
}

void store_fleet::createEntry(const std::string &Kind, const std::string &Name,
                              const std::string &Spec) const {
  httpCall(PlatformPort,
           {.Method = "POST",
            .Path = "/v1/objects/" + Kind,
            .Body = json::serialize(json::value{{"metadata", {{"name", Name}}},
                                                {"spec", json::parse(Spec)}})});
}

void store_fleet::setPlatformLists(const std::string &Query) const {
  httpCall(PlatformPort, {.Path = "/admin/lists?" + Query});
}

int store_fleet::platformCallCount() const {
  return jsonInteger(httpCall(PlatformPort, {.Path = "/admin/calls"}).Body,
                     "calls");
}

int store_fleet::platformCallCount(const std::string &Kind) const {
  return jsonInteger(
      httpCall(PlatformPort, {.Path = "/admin/calls?kind=" + Kind}).Body,
      "calls");
}

client_response callWithKey(http_connection &Connection,
                            const std::string &Path, const std::string &Key,
                            const std::string &Id, const std::string &Body) {
  return Connection.call({.Method = "POST",
                          .Path = Path,
                          .Fields = {{"Authorization", "Bearer " + Key},
                                     {"X-Request-Id", Id},
                                     {"X-Deadline-Ms", "2000"}},
                          .Body = Body});
}

client_response callWithKey(std::uint16_t Port, const std::string &Path,
                            const std::string &Key, const std::string &Id,
                            const std::string &Body) {
  http_connection Connection(Port);
  return callWithKey(Connection, Path, Key, Id, Body);
}

} // namespace peridot::test
