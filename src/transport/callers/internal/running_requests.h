/// \file
/// Requests that may be at a target, so that they can be told of the end of the
/// process.
#pragma once

#include <functional>
#include <list>
#include <utility>

namespace peridot {

/// The requests that a traffic thread relays; used on that thread only.
class running_requests {
public:
  using end_callback = std::function<void()>;

  /// Keeps a request in the list while it exists.
  class entry {
  public:
    entry(running_requests &Owner, end_callback OnEnd)
        : Owner(Owner), Position(Owner.Callbacks.insert(Owner.Callbacks.end(),
                                                        std::move(OnEnd))) {}
    ~entry() { Owner.Callbacks.erase(Position); }
    entry(const entry &) = delete;
    entry &operator=(const entry &) = delete;

  private:
    running_requests &Owner;
    std::list<end_callback>::iterator Position;
  };

  /// Tells all requests to end. They stay in the list until they have.
  void endAll() {
    for (const end_callback &OnEnd : Callbacks)
      OnEnd();
  }

private:
  std::list<end_callback> Callbacks;
};

} // namespace peridot
