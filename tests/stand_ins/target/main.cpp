/// \file
/// Stand-in for a target. It records each request that it runs; tests set its
/// behaviour under /admin/behaviour, and what it announces in its responses
/// under /admin/announcements.

#include <boost/asio/steady_timer.hpp>
#include <gflags/gflags.h>

#include "stand_ins/http_server.h"
#include "stand_ins/target/arrival_log.h"
#include "stand_ins/target/target_behaviour.h"

DEFINE_int32(port, 0, "Port to listen on; 0: any free port");
DEFINE_string(name, "target", "Name of the target, sent with each response");

namespace peridot::stand_in {

namespace {

class target_server {
public:
  explicit target_server(boost::asio::io_context &Loop) : Loop(Loop) {}

  task<handler_result> handle(const http_request &Request) {
    const std::string Target(Request.target());
    if (Target.starts_with("/admin/"))
      co_return handler_result{handleAdminRequest(Target)};
    handler_result Result;
    if (Target == "/health") {
      Result.Response = textResponse(200, "ok");
      announceLeaving(Result.Response, Announcements.Process);
      co_return Result;
    }
    Pauses.recordArrival(pause_monitor::clock::now());
    const int Process = Announcements.Process;
    const std::size_t Arrival =
        Arrivals.recordArrival(std::string(Request["X-Request-Id"]), Process);
    const std::string RetryAfter = retryAfter();
    if (Behaviour.IsShedding || !RetryAfter.empty()) {
      Result.Response = shedResponse(RetryAfter);
    } else {
      record(Request);
      co_await simulateWork();
      Result = respond(Request);
    }
    if (Result.ShouldDropResponse)
      co_return Result;
    identify(Request, Result.Response);
    const bool IsLeaving = announceLeaving(Result.Response, Process);
    Arrivals.recordResponse(
        Arrival, {.IsLeaving = IsLeaving, .Pause = parsePause(RetryAfter)});
    co_return Result;
  }

private:
  /// Draws at random; returns true with a probability of \p Percent.
  bool drawPercent(unsigned Percent) { return Random() % 100 < Percent; }

  void record(const http_request &Request) {
    const auto Account = Request.count("X-Tenant") > 0
                             ? Request["X-Tenant"]
                             : Request["Peridot-Account"];
    Executions.push_back({.RequestId = std::string(Request["X-Request-Id"]),
                          .Account = std::string(Account),
                          .HadKey = Request.count("Peridot-Key") > 0 ||
                                    Request.count("Authorization") > 0});
  }

  task<void> simulateWork() {
    auto Time = Behaviour.Delay;
    if (drawPercent(Behaviour.SlowPercent))
      Time = Behaviour.SlowDelay;
    if (drawPercent(Behaviour.SilentPercent))
      Time = std::chrono::hours(1);
    if (Time.count() == 0)
      co_return;
    boost::asio::steady_timer Timer(Loop, Time);
    co_await Timer.async_wait(UseTaskTuple);
  }

  handler_result respond(const http_request &Request) {
    if (drawPercent(Behaviour.DropPercent))
      return {.Response = {}, .ShouldDropResponse = true};
    if (drawPercent(Behaviour.FailPercent))
      return {textResponse(500, "failed")};
    std::string Body = Request.body();
    if (Behaviour.ResponseBytes > 0)
      Body.assign(Behaviour.ResponseBytes, 'a');
    http_response Response = textResponse(200, std::move(Body));
    Response.set("X-Response-Signature", "stand-in");
    return {.Response = std::move(Response),
            .TruncateAt = Behaviour.TruncateAt};
  }

  /// Adds the fields that tell which target and request a response is of.
  static void identify(const http_request &Request, http_response &Response) {
    Response.set("X-Target", FLAGS_name);
    Response.set("X-Request-Id", Request["X-Request-Id"]);
    Response.set("Peridot-Attempt-Id", Request["Peridot-Attempt-Id"]);
  }

  /// Adds to a response of \p Process that the target leaves, if it does. A
  /// process that another has replaced leaves. \returns whether it does.
  bool announceLeaving(http_response &Response, int Process) const {
    const bool IsLeaving = Behaviour.IsDraining || Announcements.IsLeaving ||
                           Process != Announcements.Process;
    if (IsLeaving) {
      if (Response.count("Peridot-Target-State") == 0)
        Response.set("Peridot-Target-State", "draining");
      Response.set("Server-Leaving", "1");
    }
    return IsLeaving;
  }

  /// Value of Retry-After in refusals; empty: none.
  std::string retryAfter() const {
    return !Announcements.RetryAfter.empty() ? Announcements.RetryAfter
           : Behaviour.IsShedding            ? Behaviour.RetryAfter
                                             : "";
  }

  http_response shedResponse(const std::string &RetryAfter) {
    http_response Response = textResponse(503, "shed");
    Response.set("Peridot-Target-State", "shed");
    Response.set("X-Not-Executed", "1");
    if (!RetryAfter.empty()) {
      Response.set("Retry-After", RetryAfter);
      Pauses.recordResponse(pause_monitor::clock::now(), RetryAfter);
    }
    return Response;
  }

  http_response handleAdminRequest(const std::string &Target) {
    if (pathOf(Target) == "/admin/behaviour") {
      Behaviour = parseBehaviour(Target);
      return textResponse(200, "");
    }
    if (pathOf(Target) == "/admin/announcements") {
      Announcements = parseAnnouncements(Target);
      return textResponse(200, "");
    }
    if (pathOf(Target) == "/admin/arrivals")
      return textResponse(200, Arrivals.encode(FLAGS_name));
    if (pathOf(Target) == "/admin/paused_arrivals")
      return textResponse(200, std::to_string(Pauses.maxArrivals()));
    return textResponse(200, encodeExecutions(Executions));
  }

  boost::asio::io_context &Loop;
  target_behaviour Behaviour;
  target_announcements Announcements;
  arrival_log Arrivals;
  std::vector<execution> Executions;
  pause_monitor Pauses;
  std::mt19937 Random{20261204};
};

} // namespace

} // namespace peridot::stand_in

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  boost::asio::io_context Loop(1);
  peridot::stand_in::target_server Server(Loop);
  peridot::stand_in::serveHttp(
      Loop, static_cast<std::uint16_t>(FLAGS_port),
      [&](const auto &Request) { return Server.handle(Request); });
  Loop.run();
}
