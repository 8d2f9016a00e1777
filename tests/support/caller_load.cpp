#include "support/caller_load.h"

#include <algorithm>

namespace peridot::test {

namespace {

std::string fieldValue(const client_response &Response,
                       const std::string &Name) {
  const auto Found = Response.Fields.find(Name);
  return Found == Response.Fields.end() ? std::string() : Found->second;
}

} // namespace

caller_load::caller_load(caller_options Chosen) : Options(std::move(Chosen)) {
  for (unsigned Caller = 0; Caller < Options.CallerCount; ++Caller)
    Threads.emplace_back([this, Caller] { run(Caller); });
}

caller_load::~caller_load() { stop(); }

std::vector<response_record> caller_load::stop() {
  IsStopping = true;
  for (std::thread &Thread : Threads)
    if (Thread.joinable())
      Thread.join();
  const std::lock_guard Lock(Mutex);
  return Records;
}

std::size_t caller_load::responseCount(unsigned Status) const {
  const std::lock_guard Lock(Mutex);
  return static_cast<std::size_t>(
      std::ranges::count(Records, Status, &response_record::Status));
}

void caller_load::run(unsigned Caller) {
  std::vector<std::unique_ptr<http_connection>> Connections(
      Options.Ports.size());
  for (unsigned Number = 0; !IsStopping; ++Number) {
    const std::size_t Chosen = (Caller + Number) % Options.Ports.size();
    auto &Connection = Connections[Chosen];
    if (!Connection)
      Connection = std::make_unique<http_connection>(Options.Ports[Chosen]);
    const std::string Id = Options.Account + "-" + std::to_string(Caller) +
                           "-" + std::to_string(Number);
    response_record Record = send(*Connection, Id);
    Record.CallerPort = Options.Ports[Chosen];
    if (Record.Status == 0)
      Connection.reset();
    {
      const std::lock_guard Lock(Mutex);
      Records.push_back(std::move(Record));
    }
    std::this_thread::sleep_for(Options.Pause);
  }
}

response_record caller_load::send(http_connection &Connection,
                                  const std::string &Id) const {
  response_record Record{.RequestId = Id,
                         .Account = Options.Account,
                         .IsRepeatable = Options.IsRepeatable,
                         .SentBody = "body of " + Id};
  Record.SentAt = std::chrono::steady_clock::now();
  const client_response Response = Connection.call(
      {.Method = "POST",
       .Path = Options.Path,
       .Fields = {{Options.KeyField, Options.Key}, {"X-Request-Id", Id}},
       .Body = Record.SentBody});
  Record.ReceivedAt = std::chrono::steady_clock::now();
  Record.Status = Response.Status;
  Record.Outcome = fieldValue(Response, "peridot-outcome");
  Record.EchoedRequestId = fieldValue(Response, "x-request-id");
  Record.Target = fieldValue(Response, "x-target");
  Record.ReceivedBody = Response.Body;
  return Record;
}

} // namespace peridot::test
