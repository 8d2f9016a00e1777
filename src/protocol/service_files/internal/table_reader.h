/// \file
/// Typed access to one TOML table that collects all defects.
#pragma once

#include <initializer_list>
#include <limits>

// The build leaves exceptions enabled, so toml++ throws parse errors; they are
// caught where the file is parsed.
#include <toml++/toml.h>

#include "protocol/service_files/service_file_reader.h"

namespace peridot {

/// Reads the keys of one table and collects defects: invalid values, and
/// missing keys that a require function reads. Such reads return a default.
class table_reader {
public:
  table_reader(std::string_view File, const toml::table &Table,
               file_faults &Faults)
      : File(File), Table(Table), Faults(Faults) {}

  /// Adds a defect at \p Node, or at the table if it is null.
  void addFault(const toml::node *Node, std::string Message,
                std::string Remedy) const;

  std::string requireString(std::string_view Key);
  /// As requireString(), for a name that goes into header fields and log lines.
  std::string requireName(std::string_view Key);
  std::string stringOr(std::string_view Key, std::string_view Default);
  std::int64_t integerOr(std::string_view Key, std::int64_t Default,
                         std::int64_t Min, std::int64_t Max);
  std::int64_t requireInteger(std::string_view Key, std::int64_t Min,
                              std::int64_t Max);
  double requirePositive(std::string_view Key);
  bool boolOr(std::string_view Key, bool Default);
  std::vector<std::string> stringsOrEmpty(std::string_view Key);
  /// Returns the tables of the array \p Key; empty if the key is missing.
  std::vector<const toml::table *> tablesOrEmpty(std::string_view Key);
  const toml::node *find(std::string_view Key);

  /// Adds a defect for each key that was never read.
  void reportUnknownKeys() const;

private:
  const toml::node *require(std::string_view Key);

  std::string_view File;
  const toml::table &Table;
  file_faults &Faults;
  std::vector<std::string_view> ReadKeys;
};

} // namespace peridot
