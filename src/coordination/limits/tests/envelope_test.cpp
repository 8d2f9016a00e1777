#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "support/limits_schedule.h"

using namespace peridot;
using namespace peridot::test;
using namespace std::chrono_literals;

namespace {

/// Tolerance for rounding errors in sums of doubles, in tokens.
constexpr double Rounding = 1e-6;

/// Returns a number from the whole range, also in the first cases, for which
/// RapidCheck would otherwise generate small numbers only.
template <typename T> T pick(T From, T Below) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(From, Below));
}

struct envelope_fixture {
  static std::vector<owner_term> randomTerms(std::size_t VmCount,
                                             duration Length) {
    std::vector<owner_term> Terms;
    duration From = pick(0, 500) * 1ms;
    while (From < Length) {
      const duration Span = pick(200, 9'000) * 1ms;
      Terms.push_back({.Vm = pick<std::size_t>(0, VmCount),
                       .From = From,
                       .Until = From + Span});
      From += Span + pick(0, 3'000) * 1ms;
    }
    return Terms;
  }

  static schedule_options randomOptions(duration Length) {
    schedule_options Options;
    Options.VmCount = pick<std::size_t>(1, 6);
    Options.Rate = pick(1, 60);
    Options.Burst = pick(1, 40);
    Options.LossRate = pick(0, 3) == 0 ? pick(0, 40) / 100.0 : 0;
    Options.DuplicateRate = pick(0, 40) / 100.0;
    Options.MaxDelay = pick(0, 3) == 0 ? pick(3, 1'500) * 1ms : 5ms;
    Options.MaxClockDrift = 4e-4;
    Options.ShareOptions.MainValidity = 2s;
    Options.ShareOptions.ReserveValidity = 5s;
    Options.ShareOptions.ReserveFraction = pick(0, 50) / 100.0;
    Options.Terms = randomTerms(Options.VmCount, Length);
    Options.Seed = *rc::gen::arbitrary<unsigned>();
    return Options;
  }

  /// In three of eight calls, injects a random fault at one VM.
  static void injectFault(limits_schedule &Schedule, std::size_t VmCount) {
    const auto Vm = pick<std::size_t>(0, VmCount);
    const duration Span = pick(100, 4'000) * 1ms;
    switch (pick(0, 8)) {
    case 0:
      return Schedule.pause(Vm, Span);
    case 1:
      return Schedule.restart(Vm);
    case 2:
      return Schedule.disconnect(Vm, Schedule.now() + Span);
    default:
      return;
    }
  }
};

} // namespace

TEST_CASE_FIXTURE(envelope_fixture, "fleet_randomFaults_staysWithinEnvelope") {
  const bool Passed = rc::check("admitted <= burst + rate * w", [] {
    constexpr duration Length = 40s;
    const schedule_options Options = randomOptions(Length);
    limits_schedule Schedule(Options);
    single_bucket Envelope(Options.Rate, Options.Burst);
    double LowestLevel = 0;
    std::size_t Admitted = 0;
    while (Schedule.now() < Length) {
      Schedule.advanceTo(Schedule.now() + pick(5, 800) * 1ms);
      injectFault(Schedule, Options.VmCount);
      // Demand is limited to some of the VMs, with bursts and pauses.
      const auto BusyVms = pick<std::size_t>(0, Options.VmCount + 1);
      const int Requests = BusyVms == 0 ? 0 : pick(0, 90);
      for (int Request = 0; Request < Requests; ++Request) {
        const auto Vm = static_cast<std::size_t>(Schedule.uniform() *
                                                 static_cast<double>(BusyVms));
        if (!Schedule.request(Vm))
          continue;
        ++Admitted;
        LowestLevel = std::min(LowestLevel, Envelope.charge(Schedule.now()));
      }
    }
    RC_CLASSIFY(Admitted > 0, "something was admitted");
    RC_ASSERT(LowestLevel >= -Rounding);
  });
  CHECK(Passed);
}
