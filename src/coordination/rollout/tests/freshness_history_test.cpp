/// Compares verdicts with the whole history of the platform, under lost, late
/// and reordered messages and feeders that cannot reach the platform.
#include <array>
#include <random>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "coordination/rollout/freshness_machine.h"
#include "coordination/rollout/question_log.h"

using namespace peridot;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t VmCount = 3;
constexpr freshness_options Limits{};
constexpr std::size_t StepCount = 2000;

enum class step_kind {
  Withdraw,
  ChangeReach,
  CallPlatform,
  Ask,
  Answer,
  Deliver,
  Lose,
  Wait,
};

/// Steps by how often they come.
constexpr std::array Kinds = {
    step_kind::Withdraw,     step_kind::ChangeReach, step_kind::CallPlatform,
    step_kind::CallPlatform, step_kind::Ask,         step_kind::Ask,
    step_kind::Ask,          step_kind::Answer,      step_kind::Answer,
    step_kind::Answer,       step_kind::Deliver,     step_kind::Deliver,
    step_kind::Lose,         step_kind::Wait,        step_kind::Wait};

struct step {
  step_kind Kind = step_kind::Wait;
  std::size_t First = 0;
  std::size_t Second = 0;
};

struct reply {
  std::size_t Asker = 0;
  std::size_t Answerer = 0;
  rollout_answer Answer;
};

/// One VM in each of three data centres, each a feeder, and the truth.
struct history_fixture {
  struct vm {
    freshness_machine Freshness{Limits};
    question_log Questions{1000, 4s};
    revision InForce{1};
    bool ReachesPlatform = true;
    instant LastFailure{};
  };
  struct question {
    std::size_t Asker = 0;
    std::size_t Answerer = 0;
    std::uint64_t Sequence = 0;
  };

  std::array<vm, VmCount> Vms;
  std::vector<member> Members;
  instant Now = instant{} + 100s;
  std::vector<instant> AcceptedAt{Now}; ///< By revision, from 1.
  std::vector<question> Asked;
  std::vector<reply> Replies;

  history_fixture() {
    for (std::size_t Index = 0; Index < VmCount; ++Index)
      Members.push_back({.Vm = vm_name("vm-" + std::to_string(Index)),
                         .DataCenter = dataCenter(Index)});
  }

  static data_center_name dataCenter(std::size_t Index) {
    return data_center_name("dc-" + std::to_string(Index));
  }

  revision newest() const { return {AcceptedAt.size()}; }

  void callPlatform(std::size_t Index, bool Loads) {
    vm &Vm = Vms[Index];
    if (!Vm.ReachesPlatform) {
      Vm.LastFailure = Now;
      Vm.Freshness.handle(platform_called{
          dataCenter(Index), platform_state::Away, Vm.InForce, Now});
      return;
    }
    if (Loads)
      Vm.InForce = newest();
    Vm.Freshness.handle(platform_called{
        dataCenter(Index), platform_state::Confirmed, newest(), Now});
  }

  void answer(std::size_t Pick) {
    if (Asked.empty())
      return;
    const question Taken = Asked[Pick % Asked.size()];
    Asked.erase(Asked.begin() + static_cast<long>(Pick % Asked.size()));
    const vm &Vm = Vms[Taken.Answerer];
    Replies.push_back({Taken.Asker, Taken.Answerer,
                       rollout_answer{Taken.Sequence, Vm.InForce,
                                      Vm.Freshness.reports(
                                          Now, dataCenter(Taken.Answerer))}});
  }

  void deliver(std::size_t Pick, bool Pulls) {
    if (Replies.empty())
      return;
    const reply Taken = Replies[Pick % Replies.size()];
    Replies.erase(Replies.begin() + static_cast<long>(Pick % Replies.size()));
    vm &Vm = Vms[Taken.Asker];
    const auto AskedAt =
        Vm.Questions.take(Members[Taken.Answerer].Vm, Taken.Answer.Sequence);
    if (!AskedAt)
      return;
    Vm.Freshness.handle(
        reports_received{Taken.Answer.Reports, Taken.Answer.InForce, *AskedAt});
    if (Pulls)
      Vm.InForce = std::max(Vm.InForce, Taken.Answer.InForce);
  }

  void run(const step &Step) {
    const std::size_t Vm = Step.First % VmCount;
    const std::size_t Other = (Vm + 1 + Step.Second % 2) % VmCount;
    switch (Step.Kind) {
    case step_kind::Withdraw:
      AcceptedAt.push_back(Now);
      break;
    case step_kind::ChangeReach:
      Vms[Vm].ReachesPlatform = Step.Second % 3 != 0;
      break;
    case step_kind::CallPlatform:
      callPlatform(Vm, Step.Second % 2 == 0);
      break;
    case step_kind::Ask:
      Asked.push_back(
          {Vm, Other, Vms[Vm].Questions.add(Members[Other].Vm, Now)});
      break;
    case step_kind::Answer:
      answer(Step.First);
      break;
    case step_kind::Deliver:
      deliver(Step.First, Step.Second % 2 == 0);
      break;
    case step_kind::Lose:
      if (!Replies.empty())
        Replies.erase(Replies.begin() +
                      static_cast<long>(Step.First % Replies.size()));
      break;
    case step_kind::Wait:
      Now += std::chrono::milliseconds(Step.Second % 10 * 100);
    }
  }

  /// A fresh VM lacks no withdrawal that is older than the limit, unless every
  /// data centre failed to reach the platform within the limit.
  void check(std::size_t Index) const {
    const vm &Vm = Vms[Index];
    const freshness_verdict Verdict =
        Vm.Freshness.judge({.Now = Now,
                            .InForce = Vm.InForce,
                            .Self = Members[Index].Vm,
                            .DataCenter = Members[Index].DataCenter,
                            .Members = Members});
    const bool Lacks =
        Vm.InForce < newest() && Now - AcceptedAt[Vm.InForce.Value] > 4s;
    if (!Verdict.fresh() || !Lacks)
      return;
    RC_ASSERT(Verdict.Basis == freshness_basis::PlatformAway);
    for (const vm &Each : Vms)
      RC_ASSERT(Now - Each.LastFailure <= 3500ms);
  }
};

} // namespace

TEST_CASE("judge_anyLossDelayAndOrder_noWithdrawalMissedBeyondLimit") {
  CHECK(rc::check([] {
    history_fixture Fleet;
    std::mt19937_64 Random(*rc::gen::arbitrary<std::uint64_t>());
    std::array<revision, VmCount> Before{};
    for (std::size_t Count = 0; Count < StepCount; ++Count) {
      Fleet.run({Kinds[Random() % Kinds.size()], Random() % 60, Random() % 60});
      for (std::size_t Index = 0; Index < VmCount; ++Index) {
        Fleet.check(Index);
        RC_ASSERT(Fleet.Vms[Index].InForce >= Before[Index]);
        Before[Index] = Fleet.Vms[Index].InForce;
      }
    }
  }));
}
