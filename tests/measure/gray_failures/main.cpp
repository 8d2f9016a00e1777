/// \file
/// Prints as CSV how fast gray failures are detected and how often healthy
/// targets are ejected, compared with a naive detector that gets the same kind
/// of observations. Seeds are fixed.

#include <algorithm>
#include <array>
#include <iostream>
#include <string_view>

#include "measure/gray_failures/trials.h"

namespace {

using namespace peridot;
using namespace peridot::measure;
using namespace std::chrono_literals;

const std::array Sizes = {
    fleet_size{.Name = "hivecrest", .Vms = 44, .Targets = 7},
    fleet_size{.Name = "caroni", .Vms = 32, .Targets = 18},
    fleet_size{.Name = "target", .Vms = 640, .DataCenters = 5, .Targets = 25}};

const std::array Modes = {
    named_detection{"fast", detectionFor(ejection_mode::Fast)},
    named_detection{"careful", detectionFor(ejection_mode::Careful)}};

const std::array Profiles = {
    fault_profile{.Name = "errors 10%", .FailProbability = 0.1},
    fault_profile{.Name = "errors 30%", .FailProbability = 0.3},
    fault_profile{.Name = "errors 100%", .FailProbability = 1},
    fault_profile{.Name = "slow", .SlowProbability = 1},
    fault_profile{.Name = "slow 30%", .SlowProbability = 0.3},
    fault_profile{.Name = "one data centre",
                  .FailProbability = 0.5,
                  .AffectsOneDataCenter = true},
    fault_profile{.Name = "all targets 20%",
                  .FailProbability = 0.2,
                  .AffectsAllTargets = true}};

void printModes(const fleet_size &Size) {
  std::cout << "detection,size,mode,illness,ejected_p50_s,ejected_p95_s,"
               "not_ejected,avoided_p50_s,not_avoided,others_ejected,"
               "naive_half_p50_s,naive_missed\n";
  for (const named_detection &Mode : Modes)
    printDetection(std::cout, Size, Mode, Profiles);
  std::cout << "false,size,mode,target_hours,ejections_per_target_hour,"
               "avoidances_per_target_hour,naive_per_target_hour\n";
  for (const named_detection &Mode : Modes)
    printFalseEjections(std::cout, Size, Mode);
  std::cout << "flapping,size,mode,ejections,bad_requests,naive_ejections,"
               "naive_bad_requests\n";
  for (const named_detection &Mode : Modes)
    printFlapping(std::cout, Size, Mode);
}

void printThresholdCurve() {
  const std::array Kinds = {Profiles[0], Profiles[1], Profiles[3]};
  for (const double ConfirmationThreshold : {0.0, 4.0})
    for (const double Threshold : {5.0, 7.0, 9.0, 11.0, 14.0, 18.0}) {
      const named_detection Each{
          "threshold " + std::to_string(static_cast<int>(Threshold)) +
              (ConfirmationThreshold > 0 ? " second look" : ""),
          {.Threshold = Threshold,
           .ConfirmationThreshold = ConfirmationThreshold}};
      printDetection(std::cout, Sizes[0], Each, Kinds);
      printFalseEjections(std::cout, Sizes[0], Each);
    }
}

void printBytes() {
  std::cout << "bytes,services,budget_bytes_per_s,bytes_per_s\n";
  for (const unsigned Services : {4U, 50U, 350U})
    for (const double Budget : {200.0, 1e6})
      std::cout << "bytes," << Services << ',' << Budget << ','
                << reportBytesPerSecond(
                       {.BytesPerSecond = Budget, .BurstBytes = 20 * Budget},
                       Services, 20261204)
                << '\n';
}

} // namespace

int main(int Argc, char **Argv) {
  const std::string_view Part = Argc > 1 ? Argv[1] : "";
  const auto Size = std::ranges::find(Sizes, Part, &fleet_size::Name);
  if (Size != Sizes.end())
    printModes(*Size);
  else if (Part == "curve")
    printThresholdCurve();
  else if (Part == "bytes")
    printBytes();
  else
    std::cerr
        << "usage: measure_gray_failures hivecrest|caroni|target|curve|bytes\n";
}
