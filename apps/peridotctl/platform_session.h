/// \file
/// Runs one task against the platform to its end.
#pragma once

#include <optional>

#include <boost/asio/co_spawn.hpp>

#include "command_line.h"
#include "transport/platform/platform_client.h"

namespace peridot {

/// Connects to --platform and runs the task that \p MakeTask returns.
template <typename Result, typename MakeTask>
result<Result> runWithPlatform(const command_options &Options,
                               MakeTask &&Make) {
  const auto Endpoint = parseEndpoint("platform", Options.Platform);
  if (!Endpoint)
    return tl::unexpected(Endpoint.error());
  boost::asio::io_context Loop(1);
  platform_client Platform(Loop, {.Endpoint = *Endpoint});
  std::optional<result<Result>> Outcome;
  std::exception_ptr Thrown;
  boost::asio::co_spawn(Loop, Make(Platform),
                        [&](std::exception_ptr Error, result<Result> Finished) {
                          Thrown = std::move(Error);
                          Outcome = std::move(Finished);
                        });
  Loop.run();
  if (Thrown || !Outcome)
    return fail(error_kind::Internal, "the command broke off",
                "report this as a defect");
  return std::move(*Outcome);
}

} // namespace peridot
