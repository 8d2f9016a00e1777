/// \file
/// Runs one task with a connection to the platform until it completes.
#pragma once

#include <optional>

#include <boost/asio/co_spawn.hpp>

#include "command_line.h"
#include "transport/platform/platform_client.h"

namespace peridot {

/// Connects to --platform, runs the task that \p MakeTask returns and returns
/// its result.
template <typename Result, typename TaskFactory>
result<Result> runWithPlatform(const command_options &Options,
                               TaskFactory &&MakeTask) {
  const auto Endpoint = parseEndpoint("platform", Options.Platform);
  if (!Endpoint)
    return tl::unexpected(Endpoint.error());
  boost::asio::io_context Loop(1);
  platform_client Platform(Loop, {.Endpoint = *Endpoint});
  std::optional<result<Result>> TaskResult;
  std::exception_ptr TaskException;
  boost::asio::co_spawn(Loop, MakeTask(Platform),
                        [&](std::exception_ptr Error, result<Result> Finished) {
                          TaskException = std::move(Error);
                          TaskResult = std::move(Finished);
                        });
  Loop.run();
  if (TaskException || !TaskResult)
    return fail(error_kind::Internal, "the command ended without a result",
                "report this as a defect");
  return std::move(*TaskResult);
}

} // namespace peridot
