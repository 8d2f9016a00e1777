/// \file
/// State of the platform stand-in: objects, the list of VMs and its faults.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace peridot::stand_in {

struct stored_value {
  std::uint64_t Version = 0;
  std::string Body;
};

/// Faults that a test switches on.
struct platform_faults {
  bool Down = false;
  std::chrono::milliseconds Delay{0};
  unsigned LoseAnswers = 0; ///< Writes whose answer is lost after the effect.
  std::chrono::milliseconds ListLag{0};
};

/// Calls that were counted, a waiting watch as one.
struct call_counts {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Lists = 0;
};

class object_store {
public:
  using time_point = std::chrono::steady_clock::time_point;

  const stored_value *find(const std::string &Name) const;
  /// Stores \p Body if the version is \p Expected; returns the new version or
  /// 0 on a conflict.
  std::uint64_t write(const std::string &Name, std::uint64_t Expected,
                      std::string Body);

  void setVmList(std::string Json, time_point Now);
  /// The newest list that is at least as old as the lag.
  std::string_view vmList(time_point Now) const;

  platform_faults Faults;
  call_counts Calls;

private:
  struct dated_list {
    time_point At;
    std::string Json;
  };

  std::map<std::string, stored_value> Objects;
  std::deque<dated_list> Lists;
};

} // namespace peridot::stand_in
