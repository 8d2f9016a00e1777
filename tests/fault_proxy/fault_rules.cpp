#include "fault_proxy/fault_rules.h"

#include <algorithm>

#include "stand_ins/http_server.h"

namespace peridot::test {

namespace {

/// Offset of the name's length in a hello, after a length field (4 bytes) and
/// the incarnation (8 bytes).
constexpr std::size_t NameLengthOffset = 12;

std::int64_t queryNumber(std::string_view Target, const std::string &Name,
                         std::string_view Default) {
  return std::stoll(stand_in::queryValue(Target, Name, Default));
}

direction_faults parseDirection(std::string_view Target,
                                const std::string &Prefix) {
  direction_faults Faults;
  Faults.IsCut = queryNumber(Target, Prefix + "_cut", "0") != 0;
  Faults.Delay =
      std::chrono::milliseconds(queryNumber(Target, Prefix + "_delay_ms", "0"));
  Faults.Jitter = std::chrono::milliseconds(
      queryNumber(Target, Prefix + "_jitter_ms", "0"));
  Faults.TruncateAt = queryNumber(Target, Prefix + "_truncate_at", "-1");
  Faults.BytesPerSecond = static_cast<std::uint64_t>(
      queryNumber(Target, Prefix + "_bytes_per_second", "0"));
  return Faults;
}

} // namespace

const link_faults &fault_rules::faultsOf(std::string_view Label) const {
  auto Found = Rules.find(Label);
  if (Found == Rules.end())
    Found = Rules.find("*");
  return Found == Rules.end() ? NoFaults : Found->second;
}

void fault_rules::setFaults(std::string_view Label, link_faults Faults) {
  Rules.insert_or_assign(std::string(Label), Faults);
}

link_faults parseLinkFaults(std::string_view Target) {
  return {.Forward = parseDirection(Target, "forward"),
          .Backward = parseDirection(Target, "backward"),
          .SwapsResponses = queryNumber(Target, "crossed", "0") != 0};
}

std::string peerLabel(std::string_view FirstBytes) {
  if (FirstBytes.size() <= NameLengthOffset)
    return {};
  const auto Length = static_cast<unsigned char>(FirstBytes[NameLengthOffset]);
  const std::string_view Name = FirstBytes.substr(NameLengthOffset + 1, Length);
  const bool Printable = std::ranges::all_of(
      Name, [](unsigned char Character) { return std::isgraph(Character); });
  return Name.size() == Length && Printable ? std::string(Name) : std::string();
}

} // namespace peridot::test
