#include <iostream>
#include <random>

#include <boost/json.hpp>

#include "commands.h"
#include "platform_session.h"
#include "service_folder.h"
#include "transport/platform/configuration_publisher.h"

namespace peridot {

namespace {

std::string freshPublishId() {
  std::random_device Random;
  const std::uint64_t Number =
      (std::uint64_t{Random()} << 32U) | std::uint64_t{Random()};
  return "publish-" + std::to_string(Number);
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

} // namespace

exit_code runPublish(const command_line &Line) {
  const command_options &Options = Line.Options;
  if (Line.Operands.size() != 1 || Options.Author.empty() ||
      Options.Reason.empty())
    return reportError(
        {error_kind::InvalidInput,
         "publish needs one folder, --author and --reason",
         "write: peridotctl publish DIR --author=NAME --reason=TEXT"});
  auto Folder = readServiceFolder(Line.Operands.front());
  if (!Folder)
    return reportError(Folder.error());
  for (const file_fault &Fault : Folder->Faults)
    std::cerr << Fault.text() << '\n';
  if (!Folder->Faults.empty())
    return exit_code::BadUsage;
  const publish_intent Intent{.PublishId = Options.PublishId.empty()
                                               ? freshPublishId()
                                               : Options.PublishId,
                              .Author = Options.Author,
                              .Reason = Options.Reason};
  const auto Report = runWithPlatform<publish_report>(
      Options, [&](platform_client &Platform) -> task<result<publish_report>> {
        configuration_publisher Publisher(Platform);
        co_return co_await Publisher.publish(Folder->Documents, Intent);
      });
  return printReport(Report, Intent, Options.Json);
}

} // namespace peridot
