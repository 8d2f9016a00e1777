#include "transport/callers/internal/connection_state.h"

#include <poll.h>
#include <sys/socket.h>

namespace peridot {

bool isReset(tcp_stream &Stream) {
  pollfd State{.fd = Stream.socket().native_handle(), .events = 0};
  return ::poll(&State, 1, 0) > 0 && (State.revents & (POLLERR | POLLHUP));
}

bool hasSendingEnded(tcp_stream &Stream) {
  char Byte = 0;
  return ::recv(Stream.socket().native_handle(), &Byte, 1,
                MSG_PEEK | MSG_DONTWAIT) == 0;
}

} // namespace peridot
