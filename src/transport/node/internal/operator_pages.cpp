#include "transport/node/internal/operator_pages.h"

#include <algorithm>

#include <boost/json.hpp>

#include "protocol/http/metrics_text.h"

namespace peridot {

namespace json = boost::json;

operator_response
operator_pages::answer(const operator_request &Request) const {
  if (Request.Path == "/metrics")
    return {.ContentType = "text/plain",
            .Body = encodeMetrics(Context.Metrics)};
  if (Request.Path == "/ready")
    return ready();
  if (Request.Path == "/status")
    return status();
  return {.Status = 404,
          .Body = R"({"error":"no such page","remedy":)"
                  R"("use /metrics, /ready or /status"})"};
}

operator_response operator_pages::ready() const {
  const routing_snapshot &Snapshot = Context.Snapshots.current();
  const bool Ready =
      Snapshot.Configuration && Snapshot.KeysAreFresh && !Snapshot.Leaving;
  return {.Status = Ready ? 200U : 503U,
          .Body = json::serialize(json::value{
              {"ready", Ready},
              {"has_configuration", Snapshot.Configuration != nullptr},
              {"keys_are_fresh", Snapshot.KeysAreFresh},
              {"leaving", Snapshot.Leaving}})};
}

operator_response operator_pages::status() const {
  const routing_snapshot &Snapshot = Context.Snapshots.current();
  const std::uint64_t Revision =
      Snapshot.Configuration
          ? Snapshot.Configuration->configuration().Revision.Value
          : 0;
  const instant Now = Context.Timers.now();
  const auto Suspected =
      std::ranges::count_if(Context.Members.Members, [](const member &Member) {
        return Member.Suspected;
      });
  std::uint64_t Acting = 0;
  std::int64_t ActingMs = 0;
  for (const auto &[Shard, Until] : Context.Ownership.ActingUntil) {
    if (Until <= Now)
      continue;
    ++Acting;
    ActingMs =
        std::chrono::ceil<std::chrono::milliseconds>(Until - Now).count();
  }
  return {.Body = json::serialize(json::value{
              {"vm", Context.Self.Vm.str()},
              {"incarnation", Context.Self.Incarnation.Value},
              {"data_center", Context.Settings.DataCenter.str()},
              {"revision", Revision},
              {"keys_are_fresh", Snapshot.KeysAreFresh},
              {"leaving", Snapshot.Leaving},
              {"vms_listed", Snapshot.Vms.size()},
              {"vms_suspected", Suspected},
              {"silent_links", Context.Members.SilentLinks.size()},
              {"shards_owned", Context.Ownership.ActingUntil.size()},
              {"shards_acting", Acting},
              {"acting_for_ms", ActingMs}})};
}

} // namespace peridot
