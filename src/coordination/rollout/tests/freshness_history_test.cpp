/// Checks freshness verdicts against the complete history of the platform. A
/// VM must not count its keys as fresh while it lacks an old revocation. Lost,
/// late and reordered messages or watchers that cannot reach the platform could
/// cause this.
#include <array>
#include <random>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "coordination/rollout/freshness_machine.h"
#include "coordination/rollout/pending_requests.h"

using namespace peridot;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t VmCount = 3;
constexpr freshness_options Limits{};
constexpr std::size_t StepCount = 2000;

enum class step_kind {
  Revoke,
  ChangeReachability,
  CallPlatform,
  SendRequest,
  SendResponse,
  DeliverResponse,
  DropResponse,
  Wait,
};

/// Kinds of steps; the number of entries of a kind sets its frequency.
constexpr std::array Kinds = {step_kind::Revoke,
                              step_kind::ChangeReachability,
                              step_kind::CallPlatform,
                              step_kind::CallPlatform,
                              step_kind::SendRequest,
                              step_kind::SendRequest,
                              step_kind::SendRequest,
                              step_kind::SendResponse,
                              step_kind::SendResponse,
                              step_kind::SendResponse,
                              step_kind::DeliverResponse,
                              step_kind::DeliverResponse,
                              step_kind::DropResponse,
                              step_kind::Wait,
                              step_kind::Wait};

struct step {
  step_kind Kind = step_kind::Wait;
  std::size_t First = 0;
  std::size_t Second = 0;
};

struct response {
  std::size_t Requester = 0;
  std::size_t Responder = 0;
  rollout_response Response;
};

/// A fleet of one VM in each of three data centres, all of them watchers, and
/// the true history of the platform.
struct history_fixture {
  struct vm {
    freshness_machine Freshness{Limits};
    pending_requests PendingRequests{1000, 4s};
    revision InForce{1};
    bool ReachesPlatform = true;
    instant LastFailure{};
  };
  struct request {
    std::size_t Requester = 0;
    std::size_t Responder = 0;
    std::uint64_t Sequence = 0;
  };

  std::array<vm, VmCount> Vms;
  std::vector<member> Members;
  instant Now = instant{} + 100s;
  std::vector<instant> AcceptedAt{Now}; ///< Indexed by revision - 1.
  std::vector<request> Requests;
  std::vector<response> Responses;

  history_fixture() {
    for (std::size_t Index = 0; Index < VmCount; ++Index)
      Members.push_back({.Vm = vm_name("vm-" + std::to_string(Index)),
                         .DataCenter = dataCenter(Index)});
  }

  static data_center_name dataCenter(std::size_t Index) {
    return data_center_name("dc-" + std::to_string(Index));
  }

  revision newest() const { return {AcceptedAt.size()}; }

  void callPlatform(std::size_t Index, bool ShouldLoad) {
    vm &Vm = Vms[Index];
    if (!Vm.ReachesPlatform) {
      Vm.LastFailure = Now;
      Vm.Freshness.handle(platform_call_completed{
          dataCenter(Index), platform_state::Unreachable, Vm.InForce, Now});
      return;
    }
    if (ShouldLoad)
      Vm.InForce = newest();
    Vm.Freshness.handle(platform_call_completed{
        dataCenter(Index), platform_state::Confirmed, newest(), Now});
  }

  void respond(std::size_t Pick) {
    if (Requests.empty())
      return;
    const request Taken = Requests[Pick % Requests.size()];
    Requests.erase(Requests.begin() +
                   static_cast<long>(Pick % Requests.size()));
    const vm &Vm = Vms[Taken.Responder];
    Responses.push_back(
        {Taken.Requester, Taken.Responder,
         rollout_response{
             Taken.Sequence, Vm.InForce,
             Vm.Freshness.reports(Now, dataCenter(Taken.Responder))}});
  }

  void deliver(std::size_t Pick, bool ShouldPull) {
    if (Responses.empty())
      return;
    const response Taken = Responses[Pick % Responses.size()];
    Responses.erase(Responses.begin() +
                    static_cast<long>(Pick % Responses.size()));
    vm &Vm = Vms[Taken.Requester];
    const auto RequestedAt = Vm.PendingRequests.take(
        Members[Taken.Responder].Vm, Taken.Response.Sequence);
    if (!RequestedAt)
      return;
    Vm.Freshness.handle(reports_received{Taken.Response.Reports,
                                         Taken.Response.InForce, *RequestedAt});
    if (ShouldPull)
      Vm.InForce = std::max(Vm.InForce, Taken.Response.InForce);
  }

  void run(const step &Step) {
    const std::size_t Vm = Step.First % VmCount;
    const std::size_t Other = (Vm + 1 + Step.Second % 2) % VmCount;
    switch (Step.Kind) {
    case step_kind::Revoke:
      AcceptedAt.push_back(Now);
      break;
    case step_kind::ChangeReachability:
      Vms[Vm].ReachesPlatform = Step.Second % 3 != 0;
      break;
    case step_kind::CallPlatform:
      callPlatform(Vm, Step.Second % 2 == 0);
      break;
    case step_kind::SendRequest:
      Requests.push_back(
          {Vm, Other, Vms[Vm].PendingRequests.add(Members[Other].Vm, Now)});
      break;
    case step_kind::SendResponse:
      respond(Step.First);
      break;
    case step_kind::DeliverResponse:
      deliver(Step.First, Step.Second % 2 == 0);
      break;
    case step_kind::DropResponse:
      if (!Responses.empty())
        Responses.erase(Responses.begin() +
                        static_cast<long>(Step.First % Responses.size()));
      break;
    case step_kind::Wait:
      Now += std::chrono::milliseconds(Step.Second % 10 * 100);
    }
  }

  /// Asserts that a VM with fresh keys lacks no revocation older than the
  /// limit, unless every data centre recently failed to reach the platform.
  void check(std::size_t Index) const {
    const vm &Vm = Vms[Index];
    const freshness_verdict Verdict =
        Vm.Freshness.evaluate({.Now = Now,
                               .InForce = Vm.InForce,
                               .Self = Members[Index].Vm,
                               .DataCenter = Members[Index].DataCenter,
                               .Members = Members});
    const bool LacksRevocation =
        Vm.InForce < newest() && Now - AcceptedAt[Vm.InForce.Value] > 4s;
    if (!Verdict.isFresh() || !LacksRevocation)
      return;
    RC_ASSERT(Verdict.Basis == freshness_basis::PlatformUnreachable);
    for (const vm &Each : Vms)
      RC_ASSERT(Now - Each.LastFailure <= 3500ms);
  }
};

} // namespace

TEST_CASE(
    "evaluate_messagesLostDelayedReordered_noRevocationMissedBeyondLimit") {
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
