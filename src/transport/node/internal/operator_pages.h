/// \file
/// The pages served on the operator port.
#pragma once

#include <functional>

#include "transport/node/control_context.h"
#include "transport/node/internal/burn_driver.h"
#include "transport/operators/operator_server.h"

namespace peridot {

/// Data and actions that the pages use in addition to the node's services.
struct page_sources {
  burn_driver &Burn;
  /// Returns the node's state as JSON.
  std::function<std::string()> Status;
  /// Whether the node accepts requests.
  std::function<bool()> Ready;
  /// Starts the node's shutdown.
  std::function<void()> Drain;
};

/// Responds to operators' requests. Runs on the control thread, from whose
/// state the pages are built.
class operator_pages {
public:
  operator_pages(node_services &Context, page_sources Sources)
      : Context(Context), Sources(std::move(Sources)) {}

  operator_response respond(const operator_request &Request) const;

private:
  operator_response ready() const;
  operator_response journal(std::string_view Path) const;
  operator_response drain(std::string_view Method) const;

  node_services &Context;
  page_sources Sources;
};

} // namespace peridot
