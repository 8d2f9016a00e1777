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

constexpr std::size_t BarWidth = 30;
/// Burn rate that fills a bar of the plot.
constexpr double BarFull = 15;

std::map<burn_subject, totals_by_window>
addUp(std::span<const vm_answer> Answers) {
  std::map<burn_subject, totals_by_window> Sums;
  for (const vm_answer &Answer : Answers) {
    if (!Answer.Answer)
      continue;
    const auto Rows = decodeBurn(Answer.Answer->Body);
    if (!Rows)
      continue;
    for (const subject_burn &Row : *Rows)
      for (std::size_t Index = 0; Index < BurnWindows.size(); ++Index)
        Sums[Row.Subject][Index] += Row.Totals[Index];
  }
  return Sums;
}

std::string bar(double Rate) {
  const double Share = std::min(Rate / BarFull, 1.0);
  const auto Filled = static_cast<std::size_t>(Share * BarWidth);
  return std::string(Filled, '#') + std::string(BarWidth - Filled, '.');
}

std::string nameOfAccount(const burn_subject &Subject) {
  return Subject.Account.empty() ? "(open)" : Subject.Account.str();
}

void printTable(const std::map<burn_subject, totals_by_window> &Sums,
                double Objective) {
  std::cout << "service         account         requests 6h  burn 5m   1h    "
               "    6h        alert  burn over 1 h\n";
  for (const auto &[Subject, Totals] : Sums) {
    std::cout << std::left << std::setw(16) << Subject.Service.view()
              << std::setw(16) << nameOfAccount(Subject) << std::setw(13)
              << Totals.back().Good + Totals.back().Bad << std::fixed
              << std::setprecision(2);
    for (const request_totals &Each : Totals)
      std::cout << std::setw(10) << burnRate(Each, Objective);
    std::cout << std::setw(7) << nameOf(judgeBurn(Totals, Objective))
              << bar(burnRate(Totals[1], Objective)) << '\n';
  }
}

void printJson(const std::map<burn_subject, totals_by_window> &Sums,
               double Objective, std::span<const vm_answer> Answers) {
  json::array Rows;
  for (const auto &[Subject, Totals] : Sums) {
    json::array Windows;
    for (std::size_t Index = 0; Index < BurnWindows.size(); ++Index)
      Windows.push_back({{"minutes", BurnWindows[Index].count()},
                         {"good", Totals[Index].Good},
                         {"bad", Totals[Index].Bad},
                         {"burn", burnRate(Totals[Index], Objective)}});
    const std::string_view Alert = nameOf(judgeBurn(Totals, Objective));
    Rows.push_back({{"service", Subject.Service.str()},
                    {"account", Subject.Account.str()},
                    {"windows", std::move(Windows)},
                    {"alert", json::string_view(Alert.data(), Alert.size())}});
  }
  json::array Missing;
  for (const std::string &Name : unreached(Answers))
    Missing.push_back(json::value(Name));
  std::cout << json::serialize(json::value{{"objective", Objective},
                                           {"burn", std::move(Rows)},
                                           {"unreached", std::move(Missing)}})
            << '\n';
}

} // namespace

exit_code runBurn(const command_line &Line) {
  const double Objective = Line.Options.Objective;
  if (!(Objective > 0 && Objective < 1))
    return reportError({error_kind::InvalidInput,
                        "--objective is not between 0 and 1",
                        "write for example --objective=0.999"});
  const auto Answers =
      askFleet(Line.Options, {.Method = "GET", .Path = "/burn"});
  if (!Answers)
    return reportError(Answers.error());
  const auto Sums = addUp(*Answers);
  if (Line.Options.Json)
    printJson(Sums, Objective, *Answers);
  else
    printTable(Sums, Objective);
  warnUnreached(*Answers);
  return exitCodeOf(*Answers);
}

} // namespace peridot
