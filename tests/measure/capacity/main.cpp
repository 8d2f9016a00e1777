/// \file
/// Prints memory, message bytes and processor time of the control code at
/// several sizes, for docs/CAPACITY.md. Runs the real decision code and codecs
/// in one process.

#include <chrono>
#include <cstdio>
#include <ctime>
#include <malloc.h>

#include "coordination/health/service_health.h"
#include "coordination/limits/share_allocator.h"
#include "coordination/limits/share_holder.h"
#include "protocol/limits_messages/limits_codec.h"
#include "protocol/platform_documents/platform_documents.h"
#include "state/base/hashing.h"
#include "state/configuration/configuration_index.h"

namespace {

using namespace peridot;
using namespace std::chrono_literals;

const instant Start = instant{} + 1h;

/// Returns the bytes in use on the heap.
std::size_t heapBytes() { return mallinfo2().uordblks; }

/// Returns the processor time of this process.
double processorMicroseconds() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) * 1e6 +
         static_cast<double>(Time.tv_nsec) / 1e3;
}

/// Number of configured objects of a fleet. The fleet is designed for 350
/// services, 8,900 targets, 3,800 routes and 16,000 accounts.
struct fleet_size {
  std::size_t Services;
  std::size_t Targets;
  std::size_t Routes;
  std::size_t Accounts;
};

service_document makeDocument(const fleet_size &Size, std::size_t Index) {
  const std::string Name = "service-" + std::to_string(Index);
  service_document Document{.Service = {.Name = service_name(Name)}};
  for (std::size_t Route = Index; Route < Size.Routes; Route += Size.Services)
    Document.Service.Routes.push_back(
        {.PathPrefix = "/" + Name + "/route-" + std::to_string(Route)});
  for (std::size_t Target = Index; Target < Size.Targets;
       Target += Size.Services)
    Document.Service.Targets.push_back(
        {.Name = target_name(Name + "-" + std::to_string(Target)),
         .DataCenter = data_center_name("dc-" + std::to_string(Target % 5)),
         .Address = "127.0.0.1",
         .Port = 8080});
  for (std::size_t Account = Index; Account < Size.Accounts;
       Account += Size.Services) {
    const std::string Key = "account-" + std::to_string(Account);
    Document.Accounts.push_back({.Name = account_name(Key),
                                 .Limit = {10, 20},
                                 .Keys = {digestOfKey(Key)},
                                 .Services = {service_name(Name)}});
  }
  return Document;
}

void measureConfiguration(const fleet_size &Size) {
  std::vector<service_document> Documents;
  std::vector<manifest_entry> Entries;
  std::size_t JsonBytes = 0;
  for (std::size_t Index = 0; Index < Size.Services; ++Index) {
    Documents.push_back(makeDocument(Size, Index));
    const std::string Json = encodeDocument(Documents.back());
    JsonBytes += Json.size();
    Entries.push_back({Documents.back().Service.Name, sha256Hex(Json)});
  }
  const std::string Manifest = encodeManifest({.Documents = Entries});
  const std::size_t Before = heapBytes();
  const double StartedAt = processorMicroseconds();
  auto Configuration = assemble(revision{1}, Documents);
  const auto Index =
      std::make_shared<const configuration_index>(std::move(*Configuration));
  const double ElapsedUs = processorMicroseconds() - StartedAt;
  std::printf("configuration services=%zu targets=%zu routes=%zu accounts=%zu "
              "index_bytes=%zu json_bytes=%zu manifest_bytes=%zu "
              "accept_us=%.0f\n",
              Size.Services, Size.Targets, Size.Routes, Size.Accounts,
              heapBytes() - Before, JsonBytes, Manifest.size(), ElapsedUs);
}

std::vector<limited_account> makeAccounts(std::size_t Count) {
  std::vector<limited_account> Accounts;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const account_name Name("account-" + std::to_string(Index));
    Accounts.push_back({idOf(Name), Name, 10, 20});
  }
  return Accounts;
}

/// A fleet with one VM that acts as the owner of all shards.
struct single_owner_fleet {
  vm_incarnation Self{vm_name("owner"), {1}};
  std::vector<member> Members{{.Vm = vm_name("owner"),
                               .DataCenter = data_center_name("a"),
                               .Incarnation = {1}}};
  ownership_view Ownership;

  single_owner_fleet() {
    for (std::uint64_t Shard = 0; Shard < ShardCount; ++Shard) {
      Ownership.Map.Shards[Shard] = shard_ownership{Self, {1}, {}};
      Ownership.ActingUntil[{Shard}] = Start + 24h;
    }
  }
};

/// Measures the owner while one holder renews its shares of all accounts.
void measureShareAllocator(std::size_t AccountCount) {
  constexpr int Rounds = 20;
  const single_owner_fleet Owner;
  const fleet_observed Fleet{Owner.Ownership, Owner.Members};
  const std::vector<limited_account> Accounts = makeAccounts(AccountCount);
  const std::size_t Before = heapBytes();
  share_allocator Allocator(Owner.Self, share_options{});
  Allocator.handle(accounts_configured{Accounts}, Start);
  Allocator.handle(Fleet, Start);
  share_request_batch Batch;
  for (const limited_account &Account : Accounts)
    Batch.Requests.push_back(
        {.Account = Account.Id, .Epoch = {1}, .Demand = 5});
  const vm_incarnation Holder{vm_name("borrower"), {1}};
  const double StartedAt = processorMicroseconds();
  std::size_t Bytes = 0;
  for (int Round = 1; Round <= Rounds; ++Round) {
    Batch.Sequence = static_cast<std::uint64_t>(Round);
    Bytes += encodeLimitsMessage(Batch).size();
    const auto Responses = Allocator.handle(
        shares_requested{Holder, Batch, Fleet}, Start + Round * 5s);
    for (const addressed_grants &Response : Responses)
      Bytes += encodeLimitsMessage(Response.Batch).size();
  }
  const double RenewalCount = Rounds * static_cast<double>(AccountCount);
  std::printf("allocator accounts=%zu owner_bytes=%zu us_per_renewal=%.2f "
              "bytes_per_renewal=%.0f\n",
              AccountCount,
              heapBytes() - Before -
                  Batch.Requests.capacity() * sizeof(share_request),
              (processorMicroseconds() - StartedAt) / RenewalCount,
              static_cast<double>(Bytes) / RenewalCount);
}

/// Measures a VM that has all accounts configured and none in use.
void measureShareHolder(std::size_t AccountCount) {
  constexpr int Rounds = 20;
  const single_owner_fleet Owner;
  const std::vector<limited_account> Accounts = makeAccounts(AccountCount);
  const std::size_t Before = heapBytes();
  share_directory Directory;
  share_holder Holder({1}, share_options{}, Directory);
  Holder.configure(Accounts, Start);
  const std::size_t HeldBytes = heapBytes() - Before;
  const double StartedAt = processorMicroseconds();
  for (int Round = 1; Round <= Rounds; ++Round)
    Holder.poll(Owner.Ownership.Map, Start + Round * 100ms);
  std::printf("holder accounts=%zu vm_bytes=%zu us_per_poll=%.0f\n",
              AccountCount, HeldBytes,
              (processorMicroseconds() - StartedAt) / Rounds);
}

/// Measures the owner of one service, which receives a report from each
/// observer twice a second.
void measureHealth(std::size_t TargetCount) {
  constexpr int MeasuredSeconds = 30;
  constexpr int Observers = 20;
  service Declared{.Name = service_name("hive")};
  for (std::size_t Index = 0; Index < TargetCount; ++Index)
    Declared.Targets.push_back(
        {.Name = target_name("hive-" + std::to_string(Index)),
         .DataCenter = data_center_name("a")});
  const std::size_t Before = heapBytes();
  service_health Health{service_health_options{}};
  Health.configure(Declared, Start);
  Health.beginTerm({1}, {});
  const double StartedAt = processorMicroseconds();
  for (int HalfSecond = 0; HalfSecond < 2 * MeasuredSeconds; ++HalfSecond) {
    const instant Now = Start + HalfSecond * 500ms;
    for (int Observer = 0; Observer < Observers; ++Observer) {
      const report_received Report{
          .Observer = vm_name("vm-" + std::to_string(Observer)),
          .DataCenter = data_center_name("a"),
          .Report = {
              .Service = Declared.Name,
              .Period = 500ms,
              .Requests = 100,
              .Targets = {{.Target = targetIdOf(Declared.Targets[0].Name),
                           .Requests = 5,
                           .Failures = 1}}}};
      Health.handle(Report, Now);
    }
    Health.handle(time_passed{}, Now);
  }
  std::printf("health targets=%zu owner_bytes=%zu us_per_second=%.0f\n",
              TargetCount, heapBytes() - Before,
              (processorMicroseconds() - StartedAt) / MeasuredSeconds);
}

} // namespace

int main() {
  for (const fleet_size &Size :
       {fleet_size{22, 556, 238, 1'000}, fleet_size{88, 2'225, 950, 4'000},
        fleet_size{350, 8'900, 3'800, 16'000}})
    measureConfiguration(Size);
  for (std::size_t Accounts : {25, 100, 400, 1'600})
    measureShareAllocator(Accounts);
  for (std::size_t Accounts : {1'000, 4'000, 16'000})
    measureShareHolder(Accounts);
  for (std::size_t Targets : {7, 25, 100, 400})
    measureHealth(Targets);
}
