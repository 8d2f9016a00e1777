#include <algorithm>
#include <iomanip>
#include <iostream>

#include <boost/json.hpp>

#include "commands.h"
#include "fleet_session.h"
#include "protocol/operator_documents/operator_documents.h"

namespace peridot {

namespace json = boost::json;

namespace {

/// Width of a bar of the plot in characters.
constexpr std::size_t BarWidth = 30;
/// Burn rate shown as a full bar; higher rates are cut off.
constexpr double FullBarBurnRate = 15;

/// Sums the totals that the VMs reported for each service and account.
std::map<burn_subject, totals_by_window>
sumTotals(std::span<const vm_response> Responses) {
  std::map<burn_subject, totals_by_window> TotalsBySubject;
  for (const vm_response &Response : Responses) {
    if (!Response.Result)
      continue;
    const auto Rows = decodeBurn(Response.Result->Body);
    if (!Rows)
      continue;
    for (const subject_burn &Row : *Rows)
      for (std::size_t Index = 0; Index < BurnWindows.size(); ++Index)
        TotalsBySubject[Row.Subject][Index] += Row.Totals[Index];
  }
  return TotalsBySubject;
}

std::string renderBar(double Rate) {
  const double FilledShare = std::min(Rate / FullBarBurnRate, 1.0);
  const auto Filled = static_cast<std::size_t>(FilledShare * BarWidth);
  return std::string(Filled, '#') + std::string(BarWidth - Filled, '.');
}

/// Requests without a client account are shown as "(open)".
std::string accountLabel(const burn_subject &Subject) {
  return Subject.Account.empty() ? "(open)" : Subject.Account.str();
}

void printTable(const std::map<burn_subject, totals_by_window> &TotalsBySubject,
                double Objective) {
  std::cout << "service         account         requests 6h  burn 5m   1h    "
               "    6h        alert  burn over 1 h\n";
  for (const auto &[Subject, Totals] : TotalsBySubject) {
    std::cout << std::left << std::setw(16) << Subject.Service.view()
              << std::setw(16) << accountLabel(Subject) << std::setw(13)
              << Totals.back().Good + Totals.back().Bad << std::fixed
              << std::setprecision(2);
    for (const request_totals &WindowTotals : Totals)
      std::cout << std::setw(10) << burnRate(WindowTotals, Objective);
    std::cout << std::setw(7) << nameOf(evaluateBurnRate(Totals, Objective))
              << renderBar(burnRate(Totals[1], Objective)) << '\n';
  }
}

void printJson(const std::map<burn_subject, totals_by_window> &TotalsBySubject,
               double Objective, std::span<const vm_response> Responses) {
  json::array Rows;
  for (const auto &[Subject, Totals] : TotalsBySubject) {
    json::array Windows;
    for (std::size_t Index = 0; Index < BurnWindows.size(); ++Index)
      Windows.push_back({{"minutes", BurnWindows[Index].count()},
                         {"good", Totals[Index].Good},
                         {"bad", Totals[Index].Bad},
                         {"burn", burnRate(Totals[Index], Objective)}});
    const std::string_view Alert = nameOf(evaluateBurnRate(Totals, Objective));
    Rows.push_back({{"service", Subject.Service.str()},
                    {"account", Subject.Account.str()},
                    {"windows", std::move(Windows)},
                    {"alert", json::string_view(Alert.data(), Alert.size())}});
  }
  json::array UnreachedNames;
  for (const std::string &Name : unreachedVms(Responses))
    UnreachedNames.push_back(json::value(Name));
  std::cout << json::serialize(
                   json::value{{"objective", Objective},
                               {"burn", std::move(Rows)},
                               {"unreached", std::move(UnreachedNames)}})
            << '\n';
}

} // namespace

exit_code runBurn(const command_line &Line) {
  const double Objective = Line.Options.Objective;
  if (!(Objective > 0 && Objective < 1))
    return reportError({error_kind::InvalidInput,
                        "--objective must be above 0 and below 1",
                        "use a share of requests such as --objective=0.999"});
  const auto Responses =
      queryFleet(Line.Options, {.Method = "GET", .Path = "/burn"});
  if (!Responses)
    return reportError(Responses.error());
  const auto TotalsBySubject = sumTotals(*Responses);
  if (Line.Options.Json)
    printJson(TotalsBySubject, Objective, *Responses);
  else
    printTable(TotalsBySubject, Objective);
  warnUnreached(*Responses);
  return exitCodeOf(*Responses);
}

} // namespace peridot
