#include "stand_ins/target/arrival_log.h"

#include <charconv>

#include <boost/json.hpp>

namespace peridot::stand_in {

namespace {

std::int64_t nanoseconds(arrival_log::clock::time_point Time) {
  return std::chrono::nanoseconds(Time.time_since_epoch()).count();
}

} // namespace

std::size_t arrival_log::recordArrival(std::string_view RequestId,
                                       int Process) {
  Arrivals.push_back({.RequestId = std::string(RequestId),
                      .Process = Process,
                      .ArrivedAt = clock::now()});
  return Arrivals.size() - 1;
}

void arrival_log::recordResponse(std::size_t Arrival,
                                 const announcement &Announced) {
  Arrivals[Arrival].RespondedAt = clock::now();
  Arrivals[Arrival].Announced = Announced;
}

std::string arrival_log::encode(std::string_view Target) const {
  boost::json::array Rows;
  for (const arrival &Each : Arrivals) {
    boost::json::value RespondedAt;
    if (Each.RespondedAt)
      RespondedAt = nanoseconds(*Each.RespondedAt);
    Rows.push_back({{"target", Target},
                    {"process", Each.Process},
                    {"request_id", Each.RequestId},
                    {"arrived_at", nanoseconds(Each.ArrivedAt)},
                    {"responded_at", std::move(RespondedAt)},
                    {"says_leaving", Each.Announced.IsLeaving},
                    {"pause_ms", Each.Announced.Pause.count()}});
  }
  return boost::json::serialize(Rows);
}

std::chrono::milliseconds parsePause(std::string_view RetryAfter) {
  double Seconds = 0;
  const char *End = RetryAfter.data() + RetryAfter.size();
  const auto Parsed = std::from_chars(RetryAfter.data(), End, Seconds);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End || !(Seconds > 0))
    return std::chrono::milliseconds{0};
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::duration<double>(Seconds));
}

} // namespace peridot::stand_in
