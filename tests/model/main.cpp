/// \file
/// Explores what can happen to a small fleet that divides limits and checks
/// that no limit is exceeded and that the whole limit becomes usable.

#include <chrono>
#include <iostream>

#include <gflags/gflags.h>

#include "model/fleet_search.h"

DEFINE_uint32(vms, 4, "VMs, 3 or 4");
DEFINE_uint32(depth, 1, "Maximum number of departures from the plain run");
DEFINE_uint32(change_steps, 12, "Steps in which departures begin");
DEFINE_bool(from_start, false, "Begin with the start of all VMs");
DEFINE_bool(message_fates, true, "Lose, delay and overtake single messages");
DEFINE_bool(freezes, true, "Freeze VMs");
DEFINE_bool(long_cuts, true,
            "Cut links for longer than a VM may be silent, too");
DEFINE_uint32(max_breaks, 1, "Breaks after which the search ends");
DEFINE_bool(leave_out_seen, true, "Leave out states that were seen before");

int main(int Argc, char **Argv) {
  using namespace peridot::test;
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  const auto Begin = std::chrono::steady_clock::now();
  fleet_search Search(fleetOf(FLAGS_vms),
                      {.Depth = FLAGS_depth,
                       .ChangeSteps = FLAGS_change_steps,
                       .HasMessageFates = FLAGS_message_fates,
                       .HasFreezes = FLAGS_freezes,
                       .HasLongCuts = FLAGS_long_cuts,
                       .MaxBreaks = FLAGS_max_breaks,
                       .LeavesOutSeenStates = FLAGS_leave_out_seen});
  const search_result Result =
      FLAGS_from_start ? Search.runFromStart() : Search.runFromSteadyState();
  const std::chrono::duration<double> Time =
      std::chrono::steady_clock::now() - Begin;
  std::cout << Result.States << " states, " << Result.Transitions
            << " transitions, " << Result.Ends << " ends ("
            << Result.EndsWithSilentDataCenter
            << " with a silent data centre), depth " << FLAGS_depth << ", "
            << FLAGS_change_steps << " steps, " << FLAGS_vms << " VMs, "
            << Time.count() << " s\nat most " << Result.MaxAdmittedShare
            << " of what is allowed admitted; at least "
            << Result.MinUsableShare << " of the limit usable at the end\n";
  for (const invariant_break &Each : Result.Breaks)
    std::cout << Each.Sequence << Each.Seen << '\n';
  return Result.Breaks.empty() ? 0 : 1;
}
