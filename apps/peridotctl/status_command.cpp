#include <iostream>

#include <boost/json.hpp>

#include "commands.h"
#include "transport/operators/operator_client.h"

namespace peridot {

namespace {

void printFields(std::string_view Json) {
  const boost::json::value Status =
      boost::json::parse({Json.data(), Json.size()});
  for (const auto &[Key, Value] : Status.as_object())
    std::cout << Key << ' ' << boost::json::serialize(Value) << '\n';
}

} // namespace

exit_code runStatus(const command_line &Line) {
  const auto Endpoint = parseEndpoint("node", Line.Options.Node);
  if (!Endpoint)
    return reportError(Endpoint.error());
  const auto Answer =
      askOperatorPort(*Endpoint, {.Method = "GET", .Path = "/status"});
  if (!Answer)
    return reportError(Answer.error());
  if (Line.Options.Json)
    std::cout << Answer->Body << '\n';
  else
    printFields(Answer->Body);
  return Answer->Status == 200 ? exit_code::Success : exit_code::Failed;
}

} // namespace peridot
