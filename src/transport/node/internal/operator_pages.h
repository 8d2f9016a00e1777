/// \file
/// The pages of the operators' port.
#pragma once

#include "transport/node/control_context.h"
#include "transport/operators/operator_server.h"

namespace peridot {

/// Answers on the control thread, from control state.
class operator_pages {
public:
  explicit operator_pages(control_context &Context) : Context(Context) {}

  operator_response answer(const operator_request &Request) const;

private:
  operator_response ready() const;
  operator_response status() const;

  control_context &Context;
};

} // namespace peridot
