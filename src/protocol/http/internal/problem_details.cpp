#include "protocol/http/problem_details.h"

#include <boost/json.hpp>

namespace peridot {

namespace json = boost::json;

namespace {

json::string_view view(std::string_view Text) {
  return {Text.data(), Text.size()};
}

unsigned statusOf(refusal_kind Kind) {
  switch (Kind) {
  case refusal_kind::MalformedRequest:
    return 400;
  case refusal_kind::HeadTooLarge:
    return 431;
  case refusal_kind::BodyTooLarge:
    return 413;
  case refusal_kind::NoSuchRoute:
    return 404;
  case refusal_kind::MissingKey:
  case refusal_kind::UnknownKey:
    return 401;
  case refusal_kind::NotAllowed:
    return 403;
  case refusal_kind::RateExceeded:
    return 429;
  case refusal_kind::TargetUnreachable:
  case refusal_kind::TargetFailed:
    return 502;
  case refusal_kind::DeadlineExceeded:
    return 504;
  case refusal_kind::NoConfiguration:
  case refusal_kind::KeysNotFresh:
  case refusal_kind::QueueFull:
  case refusal_kind::NoHealthyTarget:
  case refusal_kind::TargetShed:
  case refusal_kind::TooManyConnections:
  case refusal_kind::ShuttingDown:
  case refusal_kind::MemoryShort:
    return 503;
  }
  return 500;
}

} // namespace

unsigned statusOf(const refusal &Refusal) {
  constexpr unsigned BadGateway = 502;
  constexpr unsigned ServiceUnavailable = 503;
  const unsigned Status = statusOf(Refusal.Kind);
  const bool ClaimsNotRun = Status == ServiceUnavailable;
  return ClaimsNotRun && Refusal.Outcome == request_outcome::Unknown
             ? BadGateway
             : Status;
}

std::string encodeProblem(const refusal &Refusal) {
  const std::string Type =
      "urn:peridot:problem:" + std::string(nameOf(Refusal.Kind));
  return json::serialize(
      json::value{{"type", Type},
                  {"title", view(nameOf(Refusal.Kind))},
                  {"status", statusOf(Refusal)},
                  {"detail", Refusal.Detail},
                  {"remedy", view(remedyOf(Refusal.Kind))},
                  {"outcome", view(nameOf(Refusal.Outcome))}});
}

std::string encodeAddresses(std::span<const vm_address> Preferred,
                            std::chrono::milliseconds TimeToLive) {
  json::array Rows;
  for (const vm_address &Vm : Preferred)
    Rows.push_back({{"vm", view(Vm.Vm.view())},
                    {"data_center", view(Vm.DataCenter.view())},
                    {"address", Vm.Address},
                    {"port", Vm.Port}});
  return json::serialize(json::value{
      {"addresses", std::move(Rows)},
      {"ttl_seconds",
       std::chrono::duration_cast<std::chrono::seconds>(TimeToLive).count()}});
}

} // namespace peridot
