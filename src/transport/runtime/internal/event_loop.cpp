#include "transport/runtime/event_loop.h"

#include <pthread.h>

namespace peridot {

event_loop::event_loop(const std::string &Name, error_callback OnError)
    : OnError(std::move(OnError)), Thread([this] { run(); }) {
  // Linux limits thread names to 15 characters.
  pthread_setname_np(Thread.native_handle(), Name.substr(0, 15).c_str());
}

event_loop::~event_loop() { stop(); }

void event_loop::run() {
  while (!Context.stopped()) {
    try {
      Context.run();
    } catch (const std::exception &Error) {
      OnError(Error.what());
    }
  }
}

void event_loop::stop() {
  Context.stop();
  if (Thread.joinable())
    Thread.join();
}

} // namespace peridot
