#include "transport/targets/target_pool.h"

namespace peridot {

namespace {

/// True if the other end has closed the connection or sent stray bytes.
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

target_connection_ptr target_pool::takeIdle(const target_name &Name) {
  const auto Found = Entries.find(Name);
  if (Found == Entries.end())
    return nullptr;
  auto &Idle = Found->second.Idle;
  const auto Now = std::chrono::steady_clock::now();
  while (!Idle.empty()) {
    target_connection_ptr Connection = std::move(Idle.back());
    Idle.pop_back();
    if (Now - Connection->IdleSince < IdleLimit &&
        !isBroken(Connection->Stream))
      return Connection;
  }
  return nullptr;
}

void target_pool::giveBack(const target_name &Name,
                           target_connection_ptr Connection) {
  Connection->IdleSince = std::chrono::steady_clock::now();
  Entries[Name].Idle.push_back(std::move(Connection));
}

void target_pool::dropIdle(const target_name &Name) {
  if (const auto Found = Entries.find(Name); Found != Entries.end())
    Found->second.Idle.clear();
}

} // namespace peridot
