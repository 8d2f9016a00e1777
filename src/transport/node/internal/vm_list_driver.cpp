#include "transport/node/internal/vm_list_driver.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "transport/logging/event_log.h"

namespace peridot {

namespace asio = boost::asio;

namespace {

/// The list's size grows with the fleet, so large fleets read it less often.
constexpr std::chrono::milliseconds PollPeriodPerVm{100};
constexpr std::chrono::milliseconds MinPollPeriod{1'000};

std::chrono::milliseconds pollPeriod(std::size_t VmCount) {
  return std::max(MinPollPeriod,
                  PollPeriodPerVm * static_cast<std::int64_t>(VmCount));
}

} // namespace

void vm_list_driver::start() {
  if (!Context.Settings.Seeds.empty())
    apply(Context.Settings.Seeds);
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
    Delay.expires_after(pollPeriod(Vms.size()));
    co_await Delay.async_wait(UseTaskTuple);
  }
}

void vm_list_driver::apply(std::vector<listed_vm> Listed) {
  Vms = std::move(Listed);
  std::vector<peer_address> Peers;
  for (const listed_vm &Vm : Vms) {
    boost::system::error_code Error;
    const auto Address = asio::ip::make_address(Vm.Address, Error);
    if (!Error)
      Peers.push_back({Vm.Name, {Address, Vm.PeerPort}});
  }
  Context.Peers.setPeers(Peers);
  Membership.setListedVms(Vms);
}

} // namespace peridot
