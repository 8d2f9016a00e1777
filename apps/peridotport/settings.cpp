#include "settings.h"

#include <charconv>
#include <fstream>
#include <optional>
#include <sstream>

#include <arpa/inet.h>
#include <gflags/gflags.h>

#include "environment_flags.h"
#include "platform/hivecrest.h"
#include "protocol/text/usable_name.h"

DEFINE_string(vm, "", "Name of this VM");
DEFINE_string(data_center, "", "Name of this VM's data centre");
DEFINE_string(listen_address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(caller_port, 8080, "Port for callers; 0: any free port");
DEFINE_int32(peer_port, 8081, "Port for the fleet's VMs; 0: any free port");
DEFINE_int32(operator_port, 8082, "Port for operators; 0: any free port");
DEFINE_string(platform_address, "", "IP address of the platform's service");
DEFINE_int32(platform_port, 0, "Port of the platform's service");
DEFINE_string(fleet_key_file, "",
              "File with the key shared by all VMs of the fleet");
DEFINE_string(seed_list_file, "",
              "Copy of the platform's list of VMs (JSON), read at startup if "
              "the platform is unavailable; may be outdated");
DEFINE_int32(traffic_threads, 1, "Threads that serve callers, 1 to 64");
DEFINE_int32(address_ttl_seconds, 10,
             "How long callers may cache an address response, 1 to 300");
DEFINE_int32(shutdown_limit_seconds, 60,
             "Maximum wait for running requests at shutdown, 0 to 3600");
DEFINE_string(adapter, "",
              "Platform whose store contains configuration and targets: "
              "'hivecrest'; empty: the project's own control plane");
DEFINE_string(caller_endpoint, "",
              "IP:PORT for callers, instead of --listen_address and "
              "--caller_port");
DEFINE_string(directory_endpoint, "",
              "IP:PORT where callers request addresses; with --adapter");
DEFINE_string(readiness_endpoint, "",
              "IP:PORT where the platform checks readiness; with --adapter");
DEFINE_string(platform_endpoint, "",
              "IP:PORT of the platform's service, instead of "
              "--platform_address and --platform_port");
DEFINE_string(internal_ports, "",
              "FIRST,LAST port of a free range: FIRST is the peer port, the "
              "next one the operator port");
DEFINE_string(key_staleness_limit, "4500ms",
              "How long a revoked key may still be accepted, 1s to 60s; with "
              "--adapter");
DEFINE_double(retry_ratio, 0.1,
              "Retries that the fleet may send to a service, as a ratio to "
              "its requests, 0 to 1; with --adapter");
DEFINE_double(retry_extra, 10,
              "Additional retries of the fleet above --retry_ratio, 0 to "
              "10000; with --adapter");
DEFINE_string(rate_window, "0ms",
              "Window over which accounts may exceed their limits by "
              "--rate_share and --rate_requests, 0ms to 60s; with --adapter");
DEFINE_double(rate_share, 0,
              "Share of their limits by which accounts may exceed them, 0 to "
              "1; see --rate_window");
DEFINE_double(rate_requests, 0,
              "Requests by which accounts may exceed their limits, 0 to 10000; "
              "see --rate_window");
DEFINE_double(floor_share, 0.5,
              "Share of a service's healthy targets that stay in use while "
              "many of its requests fail, 0 to 1; with --adapter");
DEFINE_string(evacuation_bound, "",
              "Maximum time until an evacuated data centre gets no more "
              "requests, 1ms to 3600s; empty: evacuations are not followed; "
              "applies from the start; with --adapter");
DEFINE_double(processor_cores, 1,
              "Cores that this VM may use, 0.001 to 1024; with --adapter");
DEFINE_double(link_mbps, 1000,
              "Bandwidth of this VM's link in megabits per second, 0.1 to "
              "1000000; with --adapter");
DEFINE_double(memory_mb, 0,
              "Memory that this VM may use, in units of 1,000,000 bytes, 16 to "
              "1000000; 0: unknown");
DEFINE_string(address_ttl, "",
              "How long callers may cache an address response, 100ms to 300s, "
              "instead of --address_ttl_seconds");
DEFINE_string(shutdown_limit, "",
              "Maximum time from the signal to the exit, 0ms to 3600s, instead "
              "of --shutdown_limit_seconds");

namespace peridot {

namespace {

constexpr std::size_t MinFleetKeyBytes = 16;
/// Time after its last change for which a file without a final line end counts
/// as incomplete.
constexpr std::chrono::milliseconds SettleTime{500};

/// Validates settings and collects one error message per invalid setting.
class settings_validator {
public:
  void require(bool IsValid, std::string Message) {
    if (!IsValid)
      Errors.push_back(std::move(Message));
  }

  void requireRange(std::string_view Flag, int Value, int Min, int Max) {
    require(Value >= Min && Value <= Max,
            "--" + std::string(Flag) + "=" + std::to_string(Value) +
                " is out of range; use " + std::to_string(Min) + " to " +
                std::to_string(Max));
  }

  /// An empty name is reported elsewhere.
  void requireName(std::string_view Flag, const std::string &Text) {
    require(Text.empty() || isUsableName(Text),
            "--" + std::string(Flag) +
                " is not a name; use one without control characters and "
                "without blanks at its ends");
  }

  void requireIp(std::string_view Flag, const std::string &Text) {
    in6_addr Buffer{};
    require(inet_pton(AF_INET, Text.c_str(), &Buffer) == 1 ||
                inet_pton(AF_INET6, Text.c_str(), &Buffer) == 1,
            "--" + std::string(Flag) + "='" + Text +
                "' is not an IP address; use one such as 127.0.0.1");
  }

  std::vector<std::string> Errors;
};

std::string readFleetKey(settings_validator &Validator) {
  // With an adapter the VMs agree on the key through the platform's store.
  if (!FLAGS_adapter.empty() && FLAGS_fleet_key_file.empty())
    return {};
  std::ifstream File(FLAGS_fleet_key_file);
  std::string Key;
  std::getline(File, Key);
  Validator.require(Key.size() >= MinFleetKeyBytes,
                    "--fleet_key_file='" + FLAGS_fleet_key_file +
                        "' contains no valid key; use a file whose first line "
                        "has at least 16 characters");
  return Key;
}

std::vector<listed_vm> readSeeds(settings_validator &Validator) {
  if (FLAGS_seed_list_file.empty())
    return {};
  std::ostringstream Content;
  Content << std::ifstream(FLAGS_seed_list_file).rdbuf();
  const auto Seeds = decodeVmList(Content.str());
  Validator.require(Seeds.has_value(),
                    "--seed_list_file='" + FLAGS_seed_list_file +
                        "' contains no list of VMs; save the response of the "
                        "platform's /vms to this file");
  return Seeds.value_or(std::vector<listed_vm>{});
}

/// Parses a number with the unit `ms` or `s`.
std::chrono::milliseconds parseDuration(settings_validator &Validator,
                                        std::string_view Flag,
                                        const std::string &Text,
                                        std::chrono::milliseconds Min,
                                        std::chrono::milliseconds Max) {
  constexpr double MillisPerSecond = 1'000;
  double Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  const std::string_view Unit(Parsed.ptr,
                              static_cast<std::size_t>(End - Parsed.ptr));
  const std::chrono::milliseconds Duration(static_cast<std::int64_t>(
      Unit == "s" ? Number * MillisPerSecond : Number));
  Validator.require(
      Parsed.ec == std::errc{} && (Unit == "ms" || Unit == "s") &&
          Duration >= Min && Duration <= Max,
      "--" + std::string(Flag) + "='" + Text +
          "' is not a duration within its range; use a number with "
          "the unit ms or s, " +
          std::to_string(Min.count()) + "ms to " + std::to_string(Max.count()) +
          "ms");
  return Duration;
}

/// Splits \p Endpoint (IP:PORT) into \p Address, unless null, and \p Port. Does
/// nothing if it is empty.
void splitEndpoint(settings_validator &Validator, std::string_view Flag,
                   const std::string &Endpoint, std::string *Address,
                   gflags::int32 &Port) {
  if (Endpoint.empty())
    return;
  const std::size_t Colon = Endpoint.rfind(':');
  const char *End = Endpoint.data() + Endpoint.size();
  const bool IsValid =
      Colon != Endpoint.npos &&
      std::from_chars(Endpoint.data() + Colon + 1, End, Port).ptr == End;
  Validator.require(IsValid,
                    "--" + std::string(Flag) + "='" + Endpoint +
                        "' is not IP:PORT; use one such as 127.0.0.1:8080");
  if (IsValid && Address)
    *Address = Endpoint.substr(0, Colon);
}

/// Sets the individual flags from those that combine several settings.
void expandCombinedFlags(settings_validator &Validator) {
  splitEndpoint(Validator, "caller_endpoint", FLAGS_caller_endpoint,
                &FLAGS_listen_address, FLAGS_caller_port);
  splitEndpoint(Validator, "platform_endpoint", FLAGS_platform_endpoint,
                &FLAGS_platform_address, FLAGS_platform_port);
  if (FLAGS_internal_ports.empty())
    return;
  int First = 0;
  int Last = 0;
  std::istringstream Text(FLAGS_internal_ports);
  char Comma = 0;
  Text >> First >> Comma >> Last;
  Validator.require(Text && Comma == ',' && First > 0 && First < Last,
                    "--internal_ports='" + FLAGS_internal_ports +
                        "' is not a range of ports; use FIRST,LAST");
  FLAGS_peer_port = First;
  FLAGS_operator_port = First + 1;
}

std::optional<platform_adapter> chooseAdapter(settings_validator &Validator) {
  if (FLAGS_adapter.empty())
    return std::nullopt;
  Validator.require(FLAGS_adapter == "hivecrest",
                    "--adapter='" + FLAGS_adapter +
                        "' is unknown; use 'hivecrest' or omit the flag");
  return hivecrest::adapter();
}

/// Adds the settings that apply only with an adapter.
void addAdapterSettings(settings_validator &Validator,
                        node_settings &Settings) {
  using namespace std::chrono_literals;
  Settings.Adapter = chooseAdapter(Validator);
  if (!Settings.Adapter)
    return;
  gflags::int32 DirectoryPort = 0;
  gflags::int32 ReadinessPort = 0;
  splitEndpoint(Validator, "directory_endpoint", FLAGS_directory_endpoint,
                nullptr, DirectoryPort);
  splitEndpoint(Validator, "readiness_endpoint", FLAGS_readiness_endpoint,
                nullptr, ReadinessPort);
  Settings.DirectoryPort = static_cast<std::uint16_t>(DirectoryPort);
  Settings.ReadinessPort = static_cast<std::uint16_t>(ReadinessPort);
  Settings.KeyStalenessLimit = parseDuration(
      Validator, "key_staleness_limit", FLAGS_key_staleness_limit, 1s, 60s);
  Validator.require(FLAGS_retry_ratio >= 0 && FLAGS_retry_ratio <= 1,
                    "--retry_ratio is out of range; use 0 to 1");
  Validator.require(FLAGS_retry_extra >= 0 && FLAGS_retry_extra <= 10'000,
                    "--retry_extra is out of range; use 0 to 10000");
  Validator.require(FLAGS_rate_share >= 0 && FLAGS_rate_share <= 1,
                    "--rate_share is out of range; use 0 to 1");
  Validator.require(FLAGS_rate_requests >= 0 && FLAGS_rate_requests <= 10'000,
                    "--rate_requests is out of range; use 0 to 10000");
  Settings.RateTolerance = {
      .Window =
          parseDuration(Validator, "rate_window", FLAGS_rate_window, 0ms, 60s),
      .Share = FLAGS_rate_share,
      .Requests = FLAGS_rate_requests};
  Validator.require(FLAGS_floor_share >= 0 && FLAGS_floor_share <= 1,
                    "--floor_share is out of range; use 0 to 1");
  Settings.FloorShare = FLAGS_floor_share;
  if (!FLAGS_evacuation_bound.empty())
    Settings.EvacuationBound = parseDuration(
        Validator, "evacuation_bound", FLAGS_evacuation_bound, 1ms, 3'600s);
  Validator.require(FLAGS_processor_cores >= 0.001 &&
                        FLAGS_processor_cores <= 1'024,
                    "--processor_cores is out of range; use 0.001 to 1024");
  Validator.require(FLAGS_link_mbps >= 0.1 && FLAGS_link_mbps <= 1'000'000,
                    "--link_mbps is out of range; use 0.1 to 1000000");
  Settings.Resources = {.Cores = FLAGS_processor_cores,
                        .LinkMegabits = FLAGS_link_mbps};
  Settings.RetryRatio = FLAGS_retry_ratio;
  Settings.RetryExtra = FLAGS_retry_extra;
}

void checkRanges(settings_validator &Validator) {
  Validator.require(!FLAGS_vm.empty(),
                    "--vm is missing; set it to the name of this VM");
  Validator.require(!FLAGS_data_center.empty(),
                    "--data_center is missing; set it to the name of this VM's "
                    "data centre");
  Validator.requireName("vm", FLAGS_vm);
  Validator.requireName("data_center", FLAGS_data_center);
  Validator.requireIp("listen_address", FLAGS_listen_address);
  Validator.requireIp("platform_address", FLAGS_platform_address);
  Validator.requireRange("caller_port", FLAGS_caller_port, 0, 65'535);
  Validator.requireRange("peer_port", FLAGS_peer_port, 0, 65'535);
  Validator.requireRange("operator_port", FLAGS_operator_port, 0, 65'535);
  Validator.requireRange("platform_port", FLAGS_platform_port, 1, 65'535);
  Validator.requireRange("traffic_threads", FLAGS_traffic_threads, 1, 64);
  Validator.require(FLAGS_memory_mb == 0 ||
                        (FLAGS_memory_mb >= 16 && FLAGS_memory_mb <= 1'000'000),
                    "--memory_mb is out of range; use 16 to 1000000, or 0 if "
                    "it is unknown");
  Validator.requireRange("address_ttl_seconds", FLAGS_address_ttl_seconds, 1,
                         300);
  Validator.requireRange("shutdown_limit_seconds", FLAGS_shutdown_limit_seconds,
                         0, 3'600);
}

/// Returns the path given by --flagfile; empty without the flag.
std::string flagFile() {
  std::string Path;
  gflags::GetCommandLineOption("flagfile", &Path);
  return Path;
}

/// Returns nullopt if the file cannot be read or is empty.
std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Content;
  Content << File.rdbuf();
  return File && Content ? std::optional(Content.str()) : std::nullopt;
}

/// Whether \p Content of the file at \p Path may be the start of a longer text
/// that another process writes at this moment.
bool isBeingWritten(const std::string &Path, std::string_view Content) {
  if (Content.ends_with('\n'))
    return false;
  std::error_code Error;
  const auto ModifiedAt = std::filesystem::last_write_time(Path, Error);
  const auto Age = std::filesystem::file_time_type::clock::now() - ModifiedAt;
  return Error || (Age >= Age.zero() && Age < SettleTime);
}

/// Sets the flags from the file at \p Path. Flags that the file does not
/// contain keep their values.
void applyFlagFile(settings_validator &Validator, const std::string &Path) {
  const std::string Flag = "--flagfile='" + Path + "'";
  // gflags ends the process if it opens a file itself and that fails.
  const auto Content = readFile(Path);
  if (!Content)
    return Validator.require(false, Flag + " cannot be read or is empty");
  if (isBeingWritten(Path, *Content))
    return Validator.require(false, Flag + " is incomplete: its last line has "
                                           "no end yet");
  if (Content->find("-flagfile") != Content->npos)
    return Validator.require(false, Flag + " refers to another file; put all "
                                           "flags into one");
  Validator.require(
      gflags::ReadFlagsFromString(*Content, "peridotport", false),
      Flag + " has an unknown flag or an invalid value; correct the file");
}

tl::expected<node_settings, std::vector<std::string>>
settingsFromFlags(settings_validator &Validator) {
  expandCombinedFlags(Validator);
  checkRanges(Validator);
  const std::string FleetKey = readFleetKey(Validator);
  const std::vector<listed_vm> Seeds = readSeeds(Validator);
  node_settings Settings{
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
      .MemoryMegabytes = FLAGS_memory_mb,
      .AddressTimeToLive = std::chrono::seconds(FLAGS_address_ttl_seconds),
      .ShutdownLimit = std::chrono::seconds(FLAGS_shutdown_limit_seconds)};
  addAdapterSettings(Validator, Settings);
  if (!FLAGS_address_ttl.empty())
    Settings.AddressTimeToLive = parseDuration(
        Validator, "address_ttl", FLAGS_address_ttl,
        std::chrono::milliseconds(100), std::chrono::seconds(300));
  if (!FLAGS_shutdown_limit.empty())
    Settings.ShutdownLimit = parseDuration(
        Validator, "shutdown_limit", FLAGS_shutdown_limit,
        std::chrono::milliseconds(0), std::chrono::seconds(3'600));
  if (!Validator.Errors.empty())
    return tl::unexpected(std::move(Validator.Errors));
  return Settings;
}

} // namespace

tl::expected<node_settings, std::vector<std::string>>
readSettings(int &Argc, char **&Argv) {
  settings_validator Validator;
  Validator.Errors = readEnvironmentFlags("peridotport/settings.cpp");
  gflags::SetUsageMessage("runs one node of the peridotport fleet");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  return settingsFromFlags(Validator);
}

tl::expected<node_settings, std::vector<std::string>> rereadSettings() {
  settings_validator Validator;
  const std::string Path = flagFile();
  if (!Path.empty())
    applyFlagFile(Validator, Path);
  if (!Validator.Errors.empty())
    return tl::unexpected(std::move(Validator.Errors));
  return settingsFromFlags(Validator);
}

settings_file::settings_file() : Path(flagFile()) { hasChanged(); }

bool settings_file::hasChanged() {
  if (Path.empty())
    return false;
  std::error_code Error;
  const auto ModifiedAt = std::filesystem::last_write_time(Path, Error);
  // The file may be missing or incomplete while it is replaced; the next call
  // checks again.
  if (Error || ModifiedAt == LastModifiedAt ||
      isBeingWritten(Path, readFile(Path).value_or("")))
    return false;
  LastModifiedAt = ModifiedAt;
  return true;
}

} // namespace peridot
