#include "transport/runtime/event_loop.h"

#include <pthread.h>

namespace peridot {

event_loop::event_loop(const std::string &Name)
    : Thread([this] { Context.run(); }) {
  // Linux limits thread names to 15 characters.
  pthread_setname_np(Thread.native_handle(), Name.substr(0, 15).c_str());
}

event_loop::~event_loop() { stop(); }

void event_loop::stop() {
  Context.stop();
  if (Thread.joinable())
    Thread.join();
}

} // namespace peridot
