#include <iomanip>
#include <iostream>

#include <boost/json.hpp>

#include "commands.h"
#include "fleet_session.h"
#include "protocol/operator_documents/operator_documents.h"

namespace peridot {

namespace json = boost::json;

namespace {

std::string_view yesOrNo(bool Value) { return Value ? "yes" : "no"; }

void printRow(const vm_status &Status) {
  std::cout << std::left << std::setw(16) << Status.Vm.Vm.view()
            << std::setw(14) << Status.DataCenter.view() << std::setw(10)
            << Status.Revision.Value << std::setw(15) << Status.Freshness
            << std::setw(7) << yesOrNo(Status.IsWatcher) << std::setw(9)
            << yesOrNo(Status.Leaving) << std::setw(10) << Status.VmsSuspected
            << Status.Shards.Acting << '/' << Status.Shards.Owned << '\n';
}

void printTable(std::span<const vm_response> Responses) {
  std::cout << "vm              data centre   revision  keys           feeds  "
               "leaving  suspects  shards\n";
  for (const vm_response &Response : Responses)
    if (Response.Result)
      if (const auto Status = decodeStatus(Response.Result->Body))
        printRow(*Status);
  warnUnreached(Responses);
}

void printJson(std::span<const vm_response> Responses) {
  json::array Rows;
  json::array UnreachedNames;
  for (const vm_response &Response : Responses) {
    boost::system::error_code Error;
    if (Response.Result)
      Rows.push_back(json::parse(Response.Result->Body, Error));
  }
  for (const std::string &Name : unreachedVms(Responses))
    UnreachedNames.push_back(json::value(Name));
  std::cout << json::serialize(
                   json::value{{"vms", std::move(Rows)},
                               {"unreached", std::move(UnreachedNames)}})
            << '\n';
}

} // namespace

exit_code runStatus(const command_line &Line) {
  const auto Responses =
      queryFleet(Line.Options, {.Method = "GET", .Path = "/status"});
  if (!Responses)
    return reportError(Responses.error());
  if (Line.Options.Json)
    printJson(*Responses);
  else
    printTable(*Responses);
  return exitCodeOf(*Responses);
}

} // namespace peridot
