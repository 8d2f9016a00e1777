#include "transport/callers/internal/response_timer.h"

#include <utility>

namespace peridot {

void response_timer::start(
    tcp_stream &Target,
    std::optional<std::chrono::steady_clock::time_point> Time,
    std::function<bool()> MayClose) {
  stop();
  State.reset();
  if (!Time)
    return;
  State = std::make_shared<wait_state>(Loop);
  State->Target = &Target;
  State->MayClose = std::move(MayClose);
  State->Timer.expires_at(*Time);
  State->Timer.async_wait(
      [Wait = State](const boost::system::error_code &Error) {
        if (Error || !Wait->Target || !Wait->MayClose())
          return;
        Wait->HasFired = true;
        Wait->Target->close();
      });
}

void response_timer::stop() {
  if (!State)
    return;
  State->Target = nullptr;
  State->Timer.cancel();
}

} // namespace peridot
