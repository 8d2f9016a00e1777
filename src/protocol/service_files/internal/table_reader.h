/// \file
/// Typed access to one TOML table that notes every defect.
#pragma once

#include <initializer_list>
#include <limits>

// The platform's compiler flags keep exceptions on; parse errors are caught
// where the file is read.
#include <toml++/toml.h>

#include "protocol/service_files/service_file_reader.h"

namespace peridot {

/// Reads keys of one table; keys never asked for are reported as unknown.
class table_reader {
public:
  table_reader(std::string_view File, const toml::table &Table,
               file_faults &Faults)
      : File(File), Table(Table), Faults(Faults) {}

  /// Notes a defect at \p Node, or at the table when it is null.
  void addFault(const toml::node *Node, std::string Message,
                std::string Remedy) const;

  std::string requireText(std::string_view Key);
  std::string textOr(std::string_view Key, std::string_view Default);
  std::int64_t integerOr(std::string_view Key, std::int64_t Default,
                         std::int64_t Least, std::int64_t Most);
  std::int64_t requireInteger(std::string_view Key, std::int64_t Least,
                              std::int64_t Most);
  double requirePositive(std::string_view Key);
  bool flagOr(std::string_view Key, bool Default);
  std::vector<std::string> textsOr(std::string_view Key);
  /// Tables of the array \p Key; empty when the key is missing.
  std::vector<const toml::table *> tables(std::string_view Key);
  const toml::node *find(std::string_view Key);

  /// Reports the keys that nothing asked for.
  void finish() const;

private:
  const toml::node *require(std::string_view Key);

  std::string_view File;
  const toml::table &Table;
  file_faults &Faults;
  std::vector<std::string_view> Known;
};

} // namespace peridot
