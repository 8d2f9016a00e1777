#include <iostream>

#include "commands.h"
#include "platform_session.h"
#include "publish_output.h"
#include "service_folder.h"
#include "transport/platform/configuration_publisher.h"

namespace peridot {

exit_code runPublish(const command_line &Line) {
  const command_options &Options = Line.Options;
  if (Line.Operands.size() != 1 || Options.Author.empty() ||
      Options.Reason.empty())
    return reportError(
        {error_kind::InvalidInput,
         "publish needs exactly one folder, --author and --reason",
         "usage: peridotctl publish DIR --author=NAME --reason=TEXT"});
  auto Folder = readServiceFolder(Line.Operands.front());
  if (!Folder)
    return reportError(Folder.error());
  for (const file_fault &Fault : Folder->Faults)
    std::cerr << Fault.text() << '\n';
  if (!Folder->Faults.empty())
    return exit_code::BadUsage;
  const publish_intent Intent = makePublishIntent(Options);
  const auto Report = runWithPlatform<publish_report>(
      Options, [&](platform_client &Platform) -> task<result<publish_report>> {
        configuration_publisher Publisher(Platform);
        co_return co_await Publisher.publish(Folder->Documents, Intent);
      });
  return printReport(Report, Intent, Options.Json);
}

} // namespace peridot
