#include "settings.h"

#include <fstream>
#include <sstream>

#include <arpa/inet.h>
#include <gflags/gflags.h>

#include "environment_flags.h"

DEFINE_string(vm, "", "Name of this VM");
DEFINE_string(data_center, "", "Name of this VM's data centre");
DEFINE_string(listen_address, "127.0.0.1", "IP number to listen on");
DEFINE_int32(caller_port, 8080, "Port for callers; 0: any free port");
DEFINE_int32(peer_port, 8081, "Port for the fleet's VMs; 0: any free port");
DEFINE_int32(operator_port, 8082, "Port for operators; 0: any free port");
DEFINE_string(platform_address, "", "IP number of the platform's service");
DEFINE_int32(platform_port, 0, "Port of the platform's service");
DEFINE_string(fleet_key_file, "",
              "File with the key that all VMs of the fleet share");
DEFINE_string(seed_list_file, "",
              "Copy of the platform's list of VMs (JSON), read at the start "
              "while the platform is away; may be old");
DEFINE_int32(traffic_threads, 1, "Threads that serve callers, 1 to 64");
DEFINE_int32(address_ttl_seconds, 10,
             "How long callers may keep an address answer, 1 to 300");
DEFINE_int32(shutdown_limit_seconds, 60,
             "Longest wait for running requests at shutdown, 0 to 3600");

namespace peridot {

namespace {

constexpr std::size_t LeastFleetKeyBytes = 16;

/// Notes one fault per setting that does not fit.
class settings_check {
public:
  void require(bool Holds, std::string Fault) {
    if (!Holds)
      Faults.push_back(std::move(Fault));
  }

  void requireRange(std::string_view Flag, int Value, int Least, int Most) {
    require(Value >= Least && Value <= Most,
            "--" + std::string(Flag) + "=" + std::to_string(Value) +
                " is out of range; use " + std::to_string(Least) + " to " +
                std::to_string(Most));
  }

  void requireIp(std::string_view Flag, const std::string &Text) {
    in6_addr Buffer{};
    require(inet_pton(AF_INET, Text.c_str(), &Buffer) == 1 ||
                inet_pton(AF_INET6, Text.c_str(), &Buffer) == 1,
            "--" + std::string(Flag) + "='" + Text +
                "' is not an IP number; use one such as 127.0.0.1");
  }

  std::vector<std::string> Faults;
};

std::string readFleetKey(settings_check &Check) {
  std::ifstream File(FLAGS_fleet_key_file);
  std::string Key;
  std::getline(File, Key);
  Check.require(Key.size() >= LeastFleetKeyBytes,
                "--fleet_key_file='" + FLAGS_fleet_key_file +
                    "' holds no key; name a file whose first line has at "
                    "least 16 characters");
  return Key;
}

std::vector<listed_vm> readSeeds(settings_check &Check) {
  if (FLAGS_seed_list_file.empty())
    return {};
  std::ostringstream Content;
  Content << std::ifstream(FLAGS_seed_list_file).rdbuf();
  const auto Seeds = decodeVmList(Content.str());
  Check.require(Seeds.has_value(),
                "--seed_list_file='" + FLAGS_seed_list_file +
                    "' holds no list of VMs; save the platform's /vms there");
  return Seeds.value_or(std::vector<listed_vm>{});
}

void checkRanges(settings_check &Check) {
  Check.require(!FLAGS_vm.empty(), "--vm is missing; give this VM's name");
  Check.require(!FLAGS_data_center.empty(),
                "--data_center is missing; give its name");
  Check.requireIp("listen_address", FLAGS_listen_address);
  Check.requireIp("platform_address", FLAGS_platform_address);
  Check.requireRange("caller_port", FLAGS_caller_port, 0, 65'535);
  Check.requireRange("peer_port", FLAGS_peer_port, 0, 65'535);
  Check.requireRange("operator_port", FLAGS_operator_port, 0, 65'535);
  Check.requireRange("platform_port", FLAGS_platform_port, 1, 65'535);
  Check.requireRange("traffic_threads", FLAGS_traffic_threads, 1, 64);
  Check.requireRange("address_ttl_seconds", FLAGS_address_ttl_seconds, 1, 300);
  Check.requireRange("shutdown_limit_seconds", FLAGS_shutdown_limit_seconds, 0,
                     3'600);
}

} // namespace

tl::expected<node_settings, std::vector<std::string>>
readSettings(int &Argc, char **&Argv) {
  settings_check Check;
  Check.Faults = readEnvironmentFlags("peridotport/settings.cpp");
  gflags::SetUsageMessage("runs one node of the peridotport fleet");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  checkRanges(Check);
  const std::string FleetKey = readFleetKey(Check);
  const std::vector<listed_vm> Seeds = readSeeds(Check);
  if (!Check.Faults.empty())
    return tl::unexpected(std::move(Check.Faults));
  return node_settings{
      .Vm = vm_name(FLAGS_vm),
      .DataCenter = data_center_name(FLAGS_data_center),
      .ListenAddress = FLAGS_listen_address,
      .CallerPort = static_cast<std::uint16_t>(FLAGS_caller_port),
      .PeerPort = static_cast<std::uint16_t>(FLAGS_peer_port),
      .OperatorPort = static_cast<std::uint16_t>(FLAGS_operator_port),
      .PlatformAddress = FLAGS_platform_address,
      .PlatformPort = static_cast<std::uint16_t>(FLAGS_platform_port),
      .Seeds = Seeds,
      .FleetKey = FleetKey,
      .TrafficThreads = static_cast<unsigned>(FLAGS_traffic_threads),
      .AddressTimeToLive = std::chrono::seconds(FLAGS_address_ttl_seconds),
      .ShutdownLimit = std::chrono::seconds(FLAGS_shutdown_limit_seconds)};
}

} // namespace peridot
