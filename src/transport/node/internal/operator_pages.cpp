#include "transport/node/internal/operator_pages.h"

#include <boost/json.hpp>

#include "protocol/http/metrics_text.h"
#include "protocol/http/request_target.h"
#include "protocol/operator_documents/operator_documents.h"

namespace peridot {

namespace json = boost::json;

namespace {

operator_response problem(unsigned Status, std::string_view Error,
                          std::string_view Remedy) {
  return {.Status = Status,
          .Body = json::serialize(json::value{
              {"error", json::string_view(Error.data(), Error.size())},
              {"remedy", json::string_view(Remedy.data(), Remedy.size())}})};
}

} // namespace

operator_response
operator_pages::respond(const operator_request &Request) const {
  const std::string_view RequestTarget = Request.Path;
  const std::string_view Page = pathOf(RequestTarget);
  if (Page == "/metrics")
    return {.ContentType = "text/plain",
            .Body = encodeMetrics(Context.Metrics)};
  if (Page == "/ready")
    return ready();
  if (Page == "/status")
    return {.Body = Sources.Status()};
  if (Page == "/journal")
    return journal(RequestTarget);
  if (Page == "/burn")
    return {.Body = encodeBurn(Sources.Burn.read())};
  if (Page == "/drain")
    return drain(Request.Method);
  return problem(
      404, "no such page",
      "use /metrics, /ready, /status, /journal, /burn or POST /drain");
}

operator_response operator_pages::ready() const {
  const routing_snapshot &Snapshot = Context.Snapshots.current();
  const bool Ready = Sources.Ready();
  return {.Status = Ready ? 200U : 503U,
          .Body = json::serialize(json::value{
              {"ready", Ready},
              {"has_configuration", Snapshot.Configuration != nullptr},
              {"keys_are_fresh", Snapshot.KeysAreFresh},
              {"leaving", Snapshot.Leaving}})};
}

operator_response operator_pages::journal(std::string_view Path) const {
  const std::string Kind = queryValue(Path, "kind");
  const std::string Name = queryValue(Path, "name");
  std::vector<journal_entry> Entries;
  for (const decision &Decision : Context.Decisions.journal().all())
    if ((Kind.empty() || Kind == nameOf(Decision.Subject)) &&
        (Name.empty() || Name == Decision.Name))
      Entries.push_back(makeJournalEntry(Context.Self.Vm, Decision));
  return {.Body = encodeJournal(Entries)};
}

operator_response operator_pages::drain(std::string_view Method) const {
  if (Method != "POST")
    return problem(405, "draining changes the state of the node",
                   "use POST /drain");
  if (!Context.Snapshots.current().Leaving)
    Sources.Drain();
  return {.Status = 202, .Body = R"({"draining":true})"};
}

} // namespace peridot
