/// \file
/// The pages of the operators' port.
#pragma once

#include <functional>

#include "protocol/operator_documents/operator_documents.h"
#include "transport/node/control_context.h"
#include "transport/node/internal/burn_driver.h"
#include "transport/node/internal/rollout_driver.h"
#include "transport/operators/operator_server.h"

namespace peridot {

/// What the pages show besides the control context.
struct page_sources {
  const rollout_driver &Rollout;
  burn_driver &Burn;
  /// Begins the node's shutdown.
  std::function<void()> Drain;
};

/// Answers on the control thread, from control state.
class operator_pages {
public:
  operator_pages(control_context &Context, page_sources Sources)
      : Context(Context), Sources(std::move(Sources)) {}

  operator_response answer(const operator_request &Request) const;

private:
  operator_response ready() const;
  operator_response status() const;
  shard_summary summarizeShards() const;
  operator_response journal(std::string_view Query) const;
  operator_response drain(std::string_view Method) const;

  control_context &Context;
  page_sources Sources;
};

} // namespace peridot
