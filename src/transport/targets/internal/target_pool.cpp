#include "transport/targets/target_pool.h"

#include <algorithm>

namespace peridot {

namespace {

/// Whether the peer has closed the connection or sent unexpected bytes.
bool isBroken(tcp_stream &Stream) {
  char Byte = 0;
  const auto Count = ::recv(Stream.socket().native_handle(), &Byte, 1,
                            MSG_PEEK | MSG_DONTWAIT);
  return Count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

unsigned target_pool::outstanding(const target_name &Name) const {
  const auto Found = Entries.find(Name);
  return Found == Entries.end() ? 0 : Found->second.Outstanding;
}

slot_guard target_pool::occupySlot(const target_name &Name) {
  return slot_guard(Entries[Name].Outstanding);
}

unsigned target_pool::connectionLimitOf(const target &Target) const {
  return Options.MaxConnectionsPerTarget == 0
             ? Target.MaxConnections
             : std::min(Options.MaxConnectionsPerTarget, Target.MaxConnections);
}

target_connection_ptr target_pool::takeIdle(const target_name &Name,
                                            duration IdleLimit) {
  const auto Found = Entries.find(Name);
  if (Found == Entries.end())
    return nullptr;
  auto &Idle = Found->second.Idle;
  const instant Now = bootNow();
  while (!Idle.empty() &&
         !Found->second.SilenceDetector.isSuspect(Idle.back()->OpenedAt)) {
    target_connection_ptr Connection = std::move(Idle.back());
    Idle.pop_back();
    if (Now - Connection->IdleSince >= IdleLimit)
      return nullptr; // All others have been idle for longer.
    if (Now - Connection->IdleSince < Connection->KeepAliveTime &&
        !isBroken(Connection->Stream))
      return Connection;
  }
  return nullptr;
}

void target_pool::evictIdleIfFull(const target &Target) {
  pool_entry &Entry = Entries[Target.Name];
  if (!Entry.Idle.empty() &&
      Entry.Outstanding + Entry.Idle.size() > connectionLimitOf(Target))
    Entry.Idle.erase(Entry.Idle.begin());
}

void target_pool::returnConnection(const target &Target,
                                   target_connection_ptr Connection) {
  pool_entry &Entry = Entries[Target.Name];
  // The request that used the connection still occupies its slot.
  if (Entry.Outstanding + Entry.Idle.size() > connectionLimitOf(Target))
    return;
  Connection->IdleSince = bootNow();
  Entry.Idle.push_back(std::move(Connection));
}

std::size_t target_pool::recordEvent(const target_name &Name,
                                     const connection_event &Event) {
  pool_entry &Entry = Entries[Name];
  const auto RetireUntil = Entry.SilenceDetector.handle(Event);
  if (!RetireUntil)
    return 0;
  return std::erase_if(Entry.Idle, [&](const target_connection_ptr &Each) {
    return Each->OpenedAt <= *RetireUntil;
  });
}

void target_pool::retain(std::span<const target_name> Names) {
  for (auto &[Name, Entry] : Entries)
    if (std::ranges::find(Names, Name) == Names.end())
      Entry.Idle.clear();
  std::erase_if(Entries, [&](const auto &Each) {
    return Each.second.Outstanding == 0 &&
           std::ranges::find(Names, Each.first) == Names.end();
  });
}

void target_pool::dropIdle(const target_name &Name) {
  if (const auto Found = Entries.find(Name); Found != Entries.end())
    Found->second.Idle.clear();
}

} // namespace peridot
