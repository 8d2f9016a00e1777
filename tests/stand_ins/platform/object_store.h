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

/// Faults that a test sets.
struct platform_faults {
  bool IsDown = false; ///< Closes connections without a response.
  std::chrono::milliseconds Delay{0};
  /// Number of writes that are applied but get no response.
  unsigned ResponsesToLose = 0;
  std::chrono::milliseconds ListLag{0}; ///< Minimum age of a returned VM list.
};

/// Number of calls received by kind; a watch counts once, however long it
/// waits.
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
  /// Stores \p Body if the current version is \p Expected. Returns the new
  /// version, or 0 on a conflict.
  std::uint64_t write(const std::string &Name, std::uint64_t Expected,
                      std::string Body);

  void setVmList(std::string Json, time_point Now);
  /// Returns the newest list that was set at least ListLag before \p Now, as
  /// JSON.
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
