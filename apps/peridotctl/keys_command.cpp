#include <iostream>

#include "commands.h"
#include "platform_session.h"
#include "publish_output.h"
#include "state/base/hashing.h"
#include "transport/platform/key_changer.h"

namespace peridot {

namespace {

constexpr std::size_t DigestHexDigits = 64;

/// Prints the digest of the key on the first line of standard input.
exit_code printDigest() {
  std::string Key;
  std::getline(std::cin, Key);
  std::cout << digestOfKey(Key) << '\n';
  return exit_code::Success;
}

bool isDigest(std::string_view Text) {
  return Text.size() == DigestHexDigits &&
         Text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

exit_code runKeyChange(const command_line &Line, key_action Action) {
  const command_options &Options = Line.Options;
  if (Line.Operands.size() != 3 || Options.Author.empty() ||
      Options.Reason.empty())
    return reportError(
        {error_kind::InvalidInput,
         "keys " + Line.Operands[0] +
             " needs an account, a digest, --author and --reason",
         "usage: peridotctl keys " + Line.Operands[0] +
             " ACCOUNT DIGEST --author=NAME --reason=TEXT"});
  if (!isDigest(Line.Operands[2]))
    return reportError({error_kind::InvalidInput,
                        "'" + Line.Operands[2] + "' is not the digest of a key",
                        "use the output of 'peridotctl keys digest'"});
  const key_change Change{Action, account_name(Line.Operands[1]),
                          key_digest(Line.Operands[2])};
  const publish_intent Intent = makePublishIntent(Options);
  const auto Report =
      runWithPlatform<publish_report>(Options, [&](platform_client &Platform) {
        return changeKey(Platform, Change, Intent);
      });
  return printReport(Report, Intent, Options.Json);
}

} // namespace

exit_code runKeys(const command_line &Line) {
  const std::string Subcommand = Line.Operands.empty() ? "" : Line.Operands[0];
  if (Subcommand == "digest" && Line.Operands.size() == 1)
    return printDigest();
  if (Subcommand == "add")
    return runKeyChange(Line, key_action::Add);
  if (Subcommand == "revoke")
    return runKeyChange(Line, key_action::Revoke);
  return reportError({error_kind::InvalidInput, "keys needs a known subcommand",
                      "use keys digest, keys add or keys revoke"});
}

} // namespace peridot
