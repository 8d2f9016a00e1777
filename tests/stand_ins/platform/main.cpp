/// \file
/// Stand-in for the platform's service: versioned objects with conditional
/// updates and watches, and a list of VMs that may lag. Tests set the list
/// under /admin/vms and faults under /admin/faults.

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <gflags/gflags.h>

#include "stand_ins/http_server.h"
#include "stand_ins/platform/object_store.h"

DEFINE_int32(port, 0, "Port to listen on; 0: any free port");

namespace peridot::stand_in {

namespace {

namespace http = boost::beast::http;
using namespace std::chrono_literals;

constexpr std::string_view ObjectsPrefix = "/objects/";
constexpr std::chrono::milliseconds WatchPollInterval{10};

class platform_server {
public:
  explicit platform_server(boost::asio::io_context &Loop) : Loop(Loop) {}

  task<handler_result> handle(const http_request &Request) {
    const std::string Target(Request.target());
    if (Target.starts_with("/admin/"))
      co_return handler_result{handleAdminRequest(Request, Target)};
    if (Store.Faults.Delay > 0ms)
      co_await pause(Store.Faults.Delay);
    if (Store.Faults.IsDown)
      co_return handler_result{.Response = {}, .ShouldDropResponse = true};
    if (Target == "/vms")
      co_return handler_result{listVms()};
    if (!Target.starts_with(ObjectsPrefix))
      co_return handler_result{textResponse(404, "no such call")};
    const std::string Name =
        decodeSegment(pathOf(Target).substr(ObjectsPrefix.size()));
    if (Request.method() == http::verb::put)
      co_return write(Request, Name);
    if (!queryValue(Target, "after", "").empty())
      co_return co_await watch(Target, Name);
    ++Store.Calls.Reads;
    co_return handler_result{objectResponse(Store.find(Name))};
  }

private:
  task<void> pause(std::chrono::milliseconds Time) {
    boost::asio::steady_timer Timer(Loop, Time);
    co_await Timer.async_wait(UseTaskTuple);
  }

  static http_response objectResponse(const stored_value *Value) {
    if (!Value)
      return textResponse(404, "no such object");
    http_response Response = textResponse(200, Value->Body);
    Response.set("Peridot-Version", std::to_string(Value->Version));
    return Response;
  }

  http_response listVms() {
    ++Store.Calls.Lists;
    return textResponse(
        200, std::string(Store.vmList(std::chrono::steady_clock::now())));
  }

  handler_result write(const http_request &Request, const std::string &Name) {
    ++Store.Calls.Writes;
    const std::uint64_t Expected =
        std::stoull("0" + std::string(Request["Peridot-If-Version"]));
    const std::uint64_t Version = Store.write(Name, Expected, Request.body());
    if (Store.Faults.ResponsesToLose > 0) {
      --Store.Faults.ResponsesToLose;
      return {.Response = {}, .ShouldDropResponse = true};
    }
    if (Version == 0)
      return {textResponse(409, "version differs")};
    http_response Response = textResponse(200, "");
    Response.set("Peridot-Version", std::to_string(Version));
    return {std::move(Response)};
  }

  task<handler_result> watch(std::string Target, std::string Name) {
    ++Store.Calls.Watches;
    const std::uint64_t After = std::stoull(queryValue(Target, "after", "0"));
    const auto Deadline = std::chrono::steady_clock::now() +
                          std::chrono::milliseconds(
                              std::stoll(queryValue(Target, "wait_ms", "0")));
    while (std::chrono::steady_clock::now() < Deadline &&
           !Store.Faults.IsDown) {
      const stored_value *Value = Store.find(Name);
      if (Value && Value->Version > After)
        co_return handler_result{objectResponse(Value)};
      co_await pause(WatchPollInterval);
    }
    co_return handler_result{.Response = textResponse(304, ""),
                             .ShouldDropResponse = Store.Faults.IsDown};
  }

  http_response handleAdminRequest(const http_request &Request,
                                   const std::string &Target) {
    if (pathOf(Target) == "/admin/vms") {
      Store.setVmList(Request.body(), std::chrono::steady_clock::now());
      return textResponse(200, "");
    }
    if (pathOf(Target) == "/admin/faults") {
      setFaults(Target);
      return textResponse(200, "");
    }
    return textResponse(200, boost::json::serialize(boost::json::value{
                                 {"reads", Store.Calls.Reads},
                                 {"writes", Store.Calls.Writes},
                                 {"watches", Store.Calls.Watches},
                                 {"lists", Store.Calls.Lists}}));
  }

  void setFaults(const std::string &Target) {
    platform_faults &Faults = Store.Faults;
    Faults.IsDown = queryValue(Target, "down", "0") == "1";
    Faults.Delay = std::chrono::milliseconds(
        std::stoll(queryValue(Target, "delay_ms", "0")));
    Faults.ResponsesToLose = static_cast<unsigned>(
        std::stoul(queryValue(Target, "lose_answers", "0")));
    Faults.ListLag = std::chrono::milliseconds(
        std::stoll(queryValue(Target, "list_lag_ms", "0")));
  }

  boost::asio::io_context &Loop;
  object_store Store;
};

} // namespace

} // namespace peridot::stand_in

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  boost::asio::io_context Loop(1);
  peridot::stand_in::platform_server Server(Loop);
  peridot::stand_in::serveHttp(
      Loop, static_cast<std::uint16_t>(FLAGS_port),
      [&](const auto &Request) { return Server.handle(Request); });
  Loop.run();
}
