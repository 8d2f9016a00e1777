/// \file
/// The node that runs on each VM.

#include <csignal>
#include <iostream>
#include <unistd.h>

#include "settings.h"
#include "transport/logging/event_log.h"
#include "transport/node/node.h"

namespace {

constexpr int ExitBadSettings = 2;
constexpr int ExitCannotStart = 3;

/// Blocks until the process is asked to stop.
void awaitStopSignal(const sigset_t &Signals) {
  int Signal = 0;
  sigwait(&Signals, &Signal);
}

void logPorts(const peridot::node_settings &Settings,
              const peridot::node_ports &Ports) {
  peridot::logEvent(peridot::log_level::Info, "listening",
                    {{"vm", Settings.Vm.view()},
                     {"caller_port", std::int64_t{Ports.Caller}},
                     {"peer_port", std::int64_t{Ports.Peer}},
                     {"operator_port", std::int64_t{Ports.Operator}}});
}

} // namespace

int main(int Argc, char **Argv) {
  auto Settings = peridot::readSettings(Argc, Argv);
  if (!Settings) {
    for (const std::string &Fault : Settings.error())
      std::cerr << "peridotport: " << Fault << '\n';
    return ExitBadSettings;
  }
  sigset_t StopSignals;
  sigemptyset(&StopSignals);
  sigaddset(&StopSignals, SIGTERM);
  sigaddset(&StopSignals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &StopSignals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  peridot::startEventLog(Argv[0]);
  // An operator's wish to drain takes the same way as SIGTERM.
  Settings->OnDrain = [] { kill(getpid(), SIGTERM); };
  peridot::node Node(*Settings);
  const auto Ports = Node.start();
  if (!Ports) {
    peridot::logError("start-failed", Ports.error());
    return ExitCannotStart;
  }
  logPorts(*Settings, *Ports);
  awaitStopSignal(StopSignals);
  // A second signal, or the end of the shutdown, wakes this thread again.
  Node.beginShutdown([] { kill(getpid(), SIGTERM); });
  awaitStopSignal(StopSignals);
  return 0;
}
