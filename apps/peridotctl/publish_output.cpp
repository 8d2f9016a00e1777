#include "publish_output.h"

#include <iostream>
#include <random>

#include <boost/json.hpp>

namespace peridot {

namespace {

std::string generatePublishId() {
  std::random_device Random;
  const std::uint64_t Number =
      (std::uint64_t{Random()} << 32U) | std::uint64_t{Random()};
  return "publish-" + std::to_string(Number);
}

} // namespace

publish_intent makePublishIntent(const command_options &Options) {
  return {.PublishId = Options.PublishId.empty() ? generatePublishId()
                                                 : Options.PublishId,
          .Author = Options.Author,
          .Reason = Options.Reason};
}

exit_code printReport(const result<publish_report> &Report,
                      const publish_intent &Intent, bool Json) {
  if (!Report) {
    std::cerr << "peridotctl: publish id " << Intent.PublishId << '\n';
    return reportError(Report.error());
  }
  if (Json)
    std::cout << boost::json::serialize(
                     boost::json::value{{"revision", Report->Revision.Value},
                                        {"publish_id", Intent.PublishId},
                                        {"was_in_force", Report->WasInForce}})
              << '\n';
  else
    std::cout << "revision " << Report->Revision.Value
              << (Report->WasInForce ? " was in force already\n"
                                     : " is accepted\n");
  return exit_code::Success;
}

} // namespace peridot
