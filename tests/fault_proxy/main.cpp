/// \file
/// The fault proxy as a program: forwards one port; tests set its faults over
/// HTTP, under /admin of a second port.

#include <iostream>

#include <gflags/gflags.h>

#include "fault_proxy/fault_proxy.h"
#include "stand_ins/http_server.h"

DEFINE_int32(target_port, 0, "Port on 127.0.0.1 to forward to");
DEFINE_int32(seed, 1, "Seed of the random delays");
DEFINE_bool(peer_links, false,
            "Label each connection with the name of the dialing VM");

namespace {

using peridot::stand_in::handler_result;
using peridot::stand_in::http_request;

handler_result handleAdminRequest(peridot::test::fault_proxy &Proxy,
                                  const http_request &Request) {
  const std::string Target(Request.target());
  if (peridot::stand_in::pathOf(Target) == "/admin/forget")
    Proxy.rules().forgetConnections();
  else
    Proxy.rules().setFaults(peridot::stand_in::queryValue(Target, "label", "*"),
                            peridot::test::parseLinkFaults(Target));
  return {peridot::stand_in::textResponse(200, "")};
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  boost::asio::io_context Loop(1);
  const auto Port = static_cast<std::uint16_t>(FLAGS_target_port);
  peridot::test::fault_proxy Proxy(
      Loop, {.Target = {boost::asio::ip::make_address("127.0.0.1"), Port},
             .Seed = static_cast<std::uint32_t>(FLAGS_seed),
             .ReadsPeerLabels = FLAGS_peer_links});
  Proxy.start();
  std::cerr << R"({"event":"proxying","port":)" << Proxy.port() << "}"
            << std::endl;
  peridot::stand_in::serveHttp(
      Loop, 0,
      [&](const http_request &Request) -> peridot::task<handler_result> {
        co_return handleAdminRequest(Proxy, Request);
      });
  Loop.run();
}
