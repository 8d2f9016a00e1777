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
            << std::setw(7) << yesOrNo(Status.Feeds) << std::setw(9)
            << yesOrNo(Status.Leaving) << std::setw(10) << Status.VmsSuspected
            << Status.Shards.Acting << '/' << Status.Shards.Owned << '\n';
}

void printTable(std::span<const vm_answer> Answers) {
  std::cout << "vm              data centre   revision  keys           feeds  "
               "leaving  suspects  shards\n";
  for (const vm_answer &Answer : Answers)
    if (Answer.Answer)
      if (const auto Status = decodeStatus(Answer.Answer->Body))
        printRow(*Status);
  warnUnreached(Answers);
}

void printJson(std::span<const vm_answer> Answers) {
  json::array Rows;
  json::array Missing;
  for (const vm_answer &Answer : Answers) {
    boost::system::error_code Error;
    if (Answer.Answer)
      Rows.push_back(json::parse(Answer.Answer->Body, Error));
  }
  for (const std::string &Name : unreached(Answers))
    Missing.push_back(json::value(Name));
  std::cout << json::serialize(json::value{{"vms", std::move(Rows)},
                                           {"unreached", std::move(Missing)}})
            << '\n';
}

} // namespace

exit_code runStatus(const command_line &Line) {
  const auto Answers =
      askFleet(Line.Options, {.Method = "GET", .Path = "/status"});
  if (!Answers)
    return reportError(Answers.error());
  if (Line.Options.Json)
    printJson(*Answers);
  else
    printTable(*Answers);
  return exitCodeOf(*Answers);
}

} // namespace peridot
