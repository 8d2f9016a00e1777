#include "transport/node/internal/vm_list_driver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "transport/logging/event_log.h"

namespace peridot {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds PollPeriod{1};

} // namespace

void vm_list_driver::start() {
  asio::co_spawn(Context.Loop, poll(), asio::detached);
}

task<void> vm_list_driver::poll() {
  asio::steady_timer Delay(Context.Loop);
  while (true) {
    auto Listed = co_await Context.Platform.listVms();
    if (!Listed)
      logError("vm-list-read-failed", Listed.error());
    else if (*Listed != Vms)
      apply(std::move(*Listed));
    Delay.expires_after(PollPeriod);
    co_await Delay.async_wait(UseTaskTuple);
  }
}

void vm_list_driver::apply(std::vector<listed_vm> Listed) {
  Vms = std::move(Listed);
  std::vector<peer_address> Peers;
  std::vector<vm_address> Callable;
  std::vector<member> Members;
  for (const listed_vm &Vm : Vms) {
    Members.push_back({.Vm = Vm.Name,
                       .DataCenter = Vm.DataCenter,
                       .Leaving = Vm.State == vm_list_state::Leaving});
    boost::system::error_code Error;
    const auto Address = asio::ip::make_address(Vm.Address, Error);
    if (Error)
      continue;
    Peers.push_back({Vm.Name, {Address, Vm.PeerPort}});
    if (Vm.State == vm_list_state::Live)
      Callable.push_back({.Vm = Vm.Name,
                          .DataCenter = Vm.DataCenter,
                          .Address = Vm.Address,
                          .Port = Vm.CallerPort});
  }
  Context.Peers.setPeers(Peers);
  Context.Members.Members = std::move(Members);
  Context.Snapshots.update(
      [&](routing_snapshot &Snapshot) { Snapshot.Vms = std::move(Callable); });
}

} // namespace peridot
