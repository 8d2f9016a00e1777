#include "coordination/load_balancing/cold_targets.h"

#include <algorithm>

#include "state/base/hashing.h"

namespace peridot {

namespace {

double secondsOf(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

bool cold_targets::entry::isCold(instant Now) const {
  if (WarmUp.RequestsPerSecond <= 0)
    return false;
  return Now < ColdUntil || (NewSince && Now - *NewSince < WarmUp.Length);
}

void cold_targets::setServices(std::span<const service> Services, instant Now) {
  const std::lock_guard Lock(Mutex);
  WarmUps.clear();
  for (const service &Each : Services)
    if (Each.WarmUpRequestsPerSecond > 0)
      WarmUps[Each.Name] = {
          .Length = std::min<duration>(Each.WarmUp, Options.MaxWarmUp),
          .RequestsPerSecond = Each.WarmUpRequestsPerSecond};
  for (auto &[Name, Entry] : Entries) {
    const bool WasCold = Entry.isCold(Now);
    const auto Found = WarmUps.find(Entry.Target.Service);
    Entry.WarmUp = Found == WarmUps.end() ? warm_up{} : Found->second;
    if (!WasCold && Entry.isCold(Now))
      beginCold(Entry, Now);
  }
  updateMayBeCold(Now);
}

void cold_targets::setHosts(const cold_target_hosts &Listed, instant Now) {
  const std::lock_guard Lock(Mutex);
  const bool IsExpired =
      !HostsSetAt || Now - *HostsSetAt >= Options.HostsLifetime;
  HostsSetAt = Now;
  std::vector<vm_name> Next;
  if (areEnough(Listed, Now))
    Next.assign(Listed.Hosts.begin(), Listed.Hosts.end());
  if (Next == Hosts && !IsExpired)
    return;
  Hosts = std::move(Next);
  for (auto &[Name, Entry] : Entries) {
    // Another VM may have sent while the hosts were unknown here.
    Entry.IsSender = Entry.IsSender && !IsExpired;
    if (Entry.isCold(Now))
      updateSender(Entry, Now);
  }
}

bool cold_targets::areEnough(const cold_target_hosts &Listed, instant Now) {
  for (const vm_name &Each : Listed.Hosts)
    HostsListedAt[Each] = Now;
  std::erase_if(HostsListedAt, [&](const auto &Each) {
    return Now - Each.second >= Options.AbsenceMemory;
  });
  const auto Count = static_cast<double>(Listed.Hosts.size());
  const auto Recent = static_cast<double>(HostsListedAt.size());
  const bool IsAlone = Listed.Hosts.size() == 1 &&
                       Listed.RegisteredVms > Options.MaxVmsOfLoneHost;
  return !IsAlone && Count >= Recent * Options.MinListedFraction;
}

void cold_targets::list(std::span<const registered_target> Listed,
                        instant Now) {
  const std::lock_guard Lock(Mutex);
  for (auto &[Name, Entry] : Entries)
    Entry.RemovedAt = Entry.RemovedAt.value_or(Now);
  for (const registered_target &Each : Listed)
    apply(Each, HasList, Now);
  HasList = true;
  updateMayBeCold(Now);
}

void cold_targets::update(const registered_target &Changed, instant Now) {
  const std::lock_guard Lock(Mutex);
  apply(Changed, true, Now);
  updateMayBeCold(Now);
}

void cold_targets::remove(const target_name &Name, instant Now) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(Name);
  if (Found != Entries.end())
    Found->second.RemovedAt = Found->second.RemovedAt.value_or(Now);
}

void cold_targets::apply(const registered_target &Target, bool IsNew,
                         instant Now) {
  const auto [Found, IsAdded] = Entries.try_emplace(Target.Target.Name);
  entry &Entry = Found->second;
  const bool WasCold = Entry.isCold(Now);
  if (IsAdded || Entry.Target.StartedAt != Target.StartedAt) {
    Entry.ColdUntil = instant{};
    Entry.NewSince = IsNew ? std::optional(Now) : std::nullopt;
  }
  Entry.Target = Target;
  Entry.RemovedAt.reset();
  const auto WarmUp = WarmUps.find(Target.Service);
  Entry.WarmUp = WarmUp == WarmUps.end() ? warm_up{} : WarmUp->second;
  // An older state of the entry, from a store that was restored, must not end
  // the time early. Compared in milliseconds, as long times overflow in
  // nanoseconds.
  const auto MaxLeft =
      std::chrono::duration_cast<std::chrono::milliseconds>(Options.MaxWarmUp);
  const duration Left = std::min(Target.RemainingWarmUp, MaxLeft);
  if (Left > duration{0})
    Entry.ColdUntil =
        std::max(Entry.ColdUntil, Now + Left + Options.ReadingMargin);
  if (!WasCold && Entry.isCold(Now))
    beginCold(Entry, Now);
}

void cold_targets::beginCold(entry &Entry, instant Now) {
  Entry.UsedAt = Now;
  Entry.IsSender = false;
  updateSender(Entry, Now);
}

void cold_targets::updateSender(entry &Entry, instant Now) {
  const bool WasSender = Entry.IsSender;
  Entry.IsSender = isFirstHostFor(Entry.Target.Target);
  if (!Entry.IsSender || WasSender)
    return;
  // The previous sender may just have sent a request, and requests that began
  // before the target was cold may still run there.
  const double Rate = Entry.WarmUp.RequestsPerSecond * Options.RateShare;
  Entry.Tokens = std::max(1 - Rate * secondsOf(Options.MaxFirstWait), 0.0);
  Entry.RefilledAt = Now;
}

bool cold_targets::isFirstHostFor(const target &Target) const {
  if (Target.DataCenter != DataCenter ||
      std::ranges::find(Hosts, Self) == Hosts.end())
    return false;
  const auto RankOf = [&](const vm_name &Host) {
    return std::pair(rendezvousWeight(Target.Name.view(), Host.view()),
                     Host.view());
  };
  const auto Own = RankOf(Self);
  return std::ranges::none_of(
      Hosts, [&](const vm_name &Host) { return RankOf(Host) > Own; });
}

std::vector<cold_target_change> cold_targets::takeChanges(instant Now) {
  const std::lock_guard Lock(Mutex);
  std::erase_if(Entries, [&](const auto &Each) {
    const auto &RemovedAt = Each.second.RemovedAt;
    return RemovedAt && Now - *RemovedAt >= Options.RemovedMemory;
  });
  std::vector<cold_target_change> Changes;
  for (auto &[Name, Entry] : Entries) {
    const bool IsCold = Entry.isCold(Now);
    if (IsCold == Entry.IsCold)
      continue;
    Entry.IsCold = IsCold;
    Changes.push_back({.Target = Name,
                       .Service = Entry.Target.Service,
                       .StartedAt = Entry.Target.StartedAt,
                       .IsCold = IsCold,
                       .IsSender = Entry.IsSender});
  }
  updateMayBeCold(Now);
  return Changes;
}

void cold_targets::updateMayBeCold(instant Now) {
  MayBeCold = std::ranges::any_of(
      Entries, [&](const auto &Each) { return Each.second.isCold(Now); });
}

cold_targets::entry *cold_targets::findCold(const target_name &Target,
                                            instant Now) {
  const auto Found = Entries.find(Target);
  return Found != Entries.end() && Found->second.isCold(Now) ? &Found->second
                                                             : nullptr;
}

double cold_targets::tokensOf(const entry &Entry, instant Now) const {
  const double Rate = Entry.WarmUp.RequestsPerSecond * Options.RateShare;
  const double Refilled = Rate * secondsOf(Now - Entry.RefilledAt);
  return std::min(Entry.Tokens + std::max(Refilled, 0.0), Options.Burst);
}

bool cold_targets::isOpen(const entry &Entry, instant Now) const {
  return Entry.IsSender && HostsSetAt &&
         Now - *HostsSetAt < Options.HostsLifetime && tokensOf(Entry, Now) >= 1;
}

bool cold_targets::takeToken(entry &Entry, instant Now) {
  if (!isOpen(Entry, Now))
    return false;
  Entry.Tokens = tokensOf(Entry, Now) - 1;
  Entry.RefilledAt = Now;
  Entry.UsedAt = Now;
  return true;
}

cold_target_choice cold_targets::choiceFor(const service_name &Service,
                                           bool IsRepeatable,
                                           instant Now) const {
  cold_target_choice Choice;
  if (!MayBeCold)
    return Choice;
  const std::lock_guard Lock(Mutex);
  std::vector<const entry *> Due;
  for (const auto &[Name, Entry] : Entries) {
    if (!Entry.isCold(Now) || Entry.Target.Service != Service)
      continue;
    const duration Unused = Now - Entry.UsedAt;
    // Unrepeatable requests leave the tokens to repeatable ones if there are
    // any, as a cold target may fail.
    if (!isOpen(Entry, Now) || (!IsRepeatable && Unused < Options.DueAfter))
      Choice.Closed.push_back(Name);
    else if (Unused >= (IsRepeatable ? Options.DueAfter : Options.OverdueAfter))
      Due.push_back(&Entry);
  }
  std::ranges::sort(Due, {}, &entry::UsedAt);
  for (const entry *Each : Due)
    Choice.Due.push_back(Each->Target.Target.Name);
  return Choice;
}

cold_admission cold_targets::take(const target_name &Target, instant Now) {
  if (!MayBeCold)
    return cold_admission::Warm;
  const std::lock_guard Lock(Mutex);
  entry *Entry = findCold(Target, Now);
  if (!Entry)
    return cold_admission::Warm;
  return takeToken(*Entry, Now) ? cold_admission::Taken
                                : cold_admission::Closed;
}

bool cold_targets::maySend(const target_name &Target,
                           std::optional<instant> TakenAt, instant Now) {
  if (!MayBeCold)
    return true;
  const std::lock_guard Lock(Mutex);
  entry *Entry = findCold(Target, Now);
  if (!Entry)
    return true;
  if (!TakenAt)
    return false;
  return Now - *TakenAt < Options.TokenLifetime || takeToken(*Entry, Now);
}

double cold_targets::usableSlots(const target &Target, duration TypicalLatency,
                                 instant Now) const {
  const double Slots = Target.Slots;
  if (!MayBeCold)
    return Slots;
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(Target.Name);
  if (Found == Entries.end() || !Found->second.isCold(Now))
    return Slots;
  const double Borne =
      TypicalLatency > duration{0}
          ? Found->second.WarmUp.RequestsPerSecond * secondsOf(TypicalLatency)
          : 1;
  return std::min(Slots, Borne);
}

} // namespace peridot
