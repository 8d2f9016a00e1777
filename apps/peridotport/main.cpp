/// \file
/// Entry point of the node that runs on each VM.

#include <csignal>
#include <iostream>
#include <unistd.h>

#include "settings.h"
#include "transport/logging/event_log.h"
#include "transport/node/node.h"

namespace {

constexpr int ExitBadSettings = 2;
constexpr int ExitCannotStart = 3;

/// Interval between checks for a changed settings file.
constexpr timespec FilePollPeriod{.tv_sec = 2, .tv_nsec = 0};

/// Rereads the settings file and applies the settings that can change at
/// runtime.
void reload(peridot::node &Node, std::string_view Cause) {
  const auto Settings = peridot::rereadSettings();
  if (!Settings) {
    for (const std::string &Error : Settings.error())
      peridot::logError("reload-refused",
                        {peridot::error_kind::InvalidInput, Error,
                         "correct the settings file; until then the previous "
                         "settings apply"});
    return;
  }
  peridot::logEvent(
      peridot::log_level::Info, "settings-reloaded",
      {{"cause", Cause},
       {"retry_ratio", Settings->RetryRatio},
       {"retry_extra", Settings->RetryExtra},
       {"key_staleness_ms", std::int64_t{Settings->KeyStalenessLimit.count()}},
       {"shutdown_ms", std::int64_t{Settings->ShutdownLimit.count()}}});
  Node.reload(*Settings);
}

/// Blocks until a stop signal arrives. Reloads the settings on SIGHUP and when
/// the settings file changes.
void serveUntilStopped(const sigset_t &Signals, peridot::node &Node) {
  peridot::settings_file File;
  while (true) {
    const int Signal = sigtimedwait(&Signals, nullptr, &FilePollPeriod);
    if (Signal == SIGTERM || Signal == SIGINT)
      return;
    const bool Changed = File.hasChanged();
    if (Signal == SIGHUP || Changed)
      reload(Node, Signal == SIGHUP ? "signal" : "the file changed");
  }
}

/// Blocks until SIGINT: the shutdown has completed, or an operator stops the
/// process at once. Other signals do not shorten the shutdown, as supervisors
/// repeat SIGTERM.
void awaitExitSignal(const sigset_t &Signals) {
  int Signal = 0;
  while (Signal != SIGINT)
    sigwait(&Signals, &Signal);
}

void logPorts(const peridot::node_ports &Ports) {
  peridot::logEvent(peridot::log_level::Info, "listening",
                    {{"caller_port", std::int64_t{Ports.Caller}},
                     {"peer_port", std::int64_t{Ports.Peer}},
                     {"operator_port", std::int64_t{Ports.Operator}}});
}

} // namespace

int main(int Argc, char **Argv) {
  auto Settings = peridot::readSettings(Argc, Argv);
  if (!Settings) {
    for (const std::string &Error : Settings.error())
      std::cerr << "peridotport: " << Error << '\n';
    return ExitBadSettings;
  }
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  peridot::startEventLog(Argv[0], Settings->Vm.view());
  // An operator's drain request takes the same path as SIGTERM.
  Settings->OnDrain = [] { kill(getpid(), SIGTERM); };
  peridot::node Node(*Settings);
  const auto Ports = Node.start();
  if (!Ports) {
    peridot::logError("start-failed", Ports.error());
    return ExitCannotStart;
  }
  logPorts(*Ports);
  serveUntilStopped(Signals, Node);
  peridot::logEvent(peridot::log_level::Info, "stop-asked", {});
  Node.beginShutdown([] { kill(getpid(), SIGINT); });
  awaitExitSignal(Signals);
  return 0;
}
