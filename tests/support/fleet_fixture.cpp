#include "support/fleet_fixture.h"

#include <cstdlib>
#include <fstream>
#include <stdexcept>

#include <boost/json.hpp>

#include "state/base/hashing.h"

namespace peridot::test {

namespace {

constexpr const char *FleetKey = "test-fleet-key-0123456789";

std::filesystem::path createTemporaryFolder() {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "peridot-test-XXXXXX").string();
  if (!mkdtemp(Pattern.data()))
    throw std::runtime_error("cannot create a temporary folder");
  return Pattern;
}

} // namespace

client_response running_target::setBehaviour(const std::string &Query) const {
  return httpCall(Port, {.Path = "/admin/behaviour?" + Query});
}

client_response
running_target::setAnnouncements(const std::string &Query) const {
  return httpCall(Port, {.Path = "/admin/announcements?" + Query});
}

std::string running_target::arrivals() const {
  return httpCall(Port, {.Path = "/admin/arrivals"}).Body;
}

int running_target::pausedArrivals() const {
  return std::stoi(httpCall(Port, {.Path = "/admin/paused_arrivals"}).Body);
}

std::string running_target::executions() const {
  return httpCall(Port, {.Path = "/admin/executions"}).Body;
}

void running_proxy::setFaults(const std::string &Query) const {
  httpCall(AdminPort, {.Path = "/admin/faults?" + Query});
}

void running_proxy::forgetConnections() const {
  httpCall(AdminPort, {.Path = "/admin/forget"});
}

fleet_fixture::fleet_fixture() : Folder(createTemporaryFolder()) {
  std::filesystem::create_directory(Folder / "services");
  std::ofstream(Folder / "fleet.key") << FleetKey << '\n';
  Platform = std::make_unique<process>("platform_stand_in",
                                       std::vector<std::string>{});
  PlatformPort = static_cast<std::uint16_t>(
      jsonInteger(Platform->awaitLine("listening"), "port"));
}

fleet_fixture::~fleet_fixture() {
  std::error_code Ignored;
  std::filesystem::remove_all(Folder, Ignored);
}

running_target &fleet_fixture::addTarget(const std::string &Name,
                                         const std::string &DataCenter) {
  auto Target = std::make_unique<running_target>();
  Target->Name = Name;
  Target->DataCenter = DataCenter;
  Target->Process = std::make_unique<process>(
      "target_stand_in", std::vector<std::string>{"--name=" + Name});
  Target->Port = static_cast<std::uint16_t>(
      jsonInteger(Target->Process->awaitLine("listening"), "port"));
  Targets.push_back(std::move(Target));
  return *Targets.back();
}

running_node &
fleet_fixture::addNode(const std::string &Name, const std::string &DataCenter,
                       const std::vector<std::string> &ExtraFlags) {
  std::vector<std::string> Flags = {
      "--vm=" + Name,
      "--data_center=" + DataCenter,
      "--caller_port=0",
      "--peer_port=0",
      "--operator_port=0",
      "--platform_address=127.0.0.1",
      "--platform_port=" + std::to_string(PlatformPort),
      "--fleet_key_file=" + (Folder / "fleet.key").string(),
      "--address_ttl_seconds=1"};
  Flags.insert(Flags.end(), ExtraFlags.begin(), ExtraFlags.end());
  auto Node = std::make_unique<running_node>();
  Node->Name = Name;
  Node->DataCenter = DataCenter;
  Node->Process = std::make_unique<process>("peridotport", Flags);
  const std::string Line = Node->Process->awaitLine("\"listening\"");
  Node->CallerPort =
      static_cast<std::uint16_t>(jsonInteger(Line, "caller_port"));
  Node->PeerPort = static_cast<std::uint16_t>(jsonInteger(Line, "peer_port"));
  Node->OperatorPort =
      static_cast<std::uint16_t>(jsonInteger(Line, "operator_port"));
  Nodes.push_back(std::move(Node));
  return *Nodes.back();
}

running_proxy &fleet_fixture::addProxy(std::uint16_t TargetPort,
                                       bool IsPeerLink) {
  auto Proxy = std::make_unique<running_proxy>();
  Proxy->Process = std::make_unique<process>(
      "fault_proxy",
      std::vector<std::string>{"--target_port=" + std::to_string(TargetPort),
                               IsPeerLink ? "--peer_links" : "--nopeer_links"});
  Proxy->Port = static_cast<std::uint16_t>(
      jsonInteger(Proxy->Process->awaitLine("proxying"), "port"));
  Proxy->AdminPort = static_cast<std::uint16_t>(
      jsonInteger(Proxy->Process->awaitLine("listening"), "port"));
  Proxies.push_back(std::move(Proxy));
  return *Proxies.back();
}

running_proxy &fleet_fixture::addPeerProxy(running_node &Node) {
  running_proxy &Proxy = addProxy(Node.PeerPort, true);
  Node.AdvertisedPeerPort = Proxy.Port;
  return Proxy;
}

void fleet_fixture::updateVmList() {
  boost::json::array Rows;
  for (const auto &Node : Nodes)
    Rows.push_back(
        {{"name", Node->Name},
         {"data_center", Node->DataCenter},
         {"address", "127.0.0.1"},
         {"caller_port", Node->CallerPort},
         {"peer_port",
          Node->AdvertisedPeerPort ? Node->AdvertisedPeerPort : Node->PeerPort},
         {"operator_port", Node->OperatorPort},
         {"state", Node->ListState}});
  httpCall(PlatformPort, {.Method = "PUT",
                          .Path = "/admin/vms",
                          .Body = boost::json::serialize(Rows)});
}

void fleet_fixture::setPlatformFaults(const std::string &Query) const {
  httpCall(PlatformPort, {.Path = "/admin/faults?" + Query});
}

void fleet_fixture::writeServiceFile(const std::string &Service,
                                     const std::string &RoutesAndAccounts) {
  std::ofstream File(Folder / "services" / (Service + ".toml"));
  File << "service = \"" << Service << "\"\n" << RoutesAndAccounts << '\n';
  for (const auto &Target : Targets)
    File << "[[target]]\nname = \"" << Target->Name << "\"\ndata_center = \""
         << Target->DataCenter
         << "\"\naddress = \"127.0.0.1\"\nport = " << Target->Port << "\n";
}

finished_program
fleet_fixture::publish(const std::string &Reason,
                       const std::vector<std::string> &ExtraFlags) {
  std::vector<std::string> Args = {"publish", (Folder / "services").string(),
                                   "--author=tests", "--reason=" + Reason};
  Args.insert(Args.end(), ExtraFlags.begin(), ExtraFlags.end());
  return ctl(Args);
}

finished_program fleet_fixture::ctl(const std::vector<std::string> &Args,
                                    const std::string &Input) const {
  std::vector<std::string> All = Args;
  All.push_back(platformFlag());
  return runProgram("peridotctl", All, Input);
}

std::string fleet_fixture::platformFlag() const {
  return "--platform=127.0.0.1:" + std::to_string(PlatformPort);
}

void fleet_fixture::awaitRevision(int Revision) {
  for (const auto &Node : Nodes)
    awaitCondition("revision " + std::to_string(Revision) + " at " + Node->Name,
                   [&] {
                     const client_response Response =
                         httpCall(Node->OperatorPort, {.Path = "/status"});
                     return Response.Status == 200 &&
                            jsonInteger(Response.Body, "revision") >= Revision;
                   });
}

void fleet_fixture::awaitReady(const running_node &Node) const {
  awaitCondition("readiness of " + Node.Name, [&] {
    return httpCall(Node.OperatorPort, {.Path = "/ready"}).Status == 200;
  });
}

std::string accountToml(const std::string &Name, const std::string &Key,
                        double Rate, double Burst) {
  return "[[account]]\nname = \"" + Name +
         "\"\nrate = " + std::to_string(Rate) +
         "\nburst = " + std::to_string(Burst) + "\nkeys = [\"" +
         digestOfKey(Key).str() + "\"]\n";
}

} // namespace peridot::test
