/// \file
/// Reads and validates the flags of the node.
#pragma once

#include <filesystem>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "transport/node/types/node_settings.h"

namespace peridot {

/// Reads the environment and the command line. Returns one message per invalid
/// setting on failure.
tl::expected<node_settings, std::vector<std::string>>
readSettings(int &Argc, char **&Argv);

/// Rereads the file of --flagfile; settings that it does not contain keep their
/// values. Returns one message per invalid setting on failure, also if the file
/// is missing, empty or being written.
tl::expected<node_settings, std::vector<std::string>> rereadSettings();

/// Detects changes of the file given by --flagfile.
class settings_file {
public:
  settings_file();
  /// Whether the file was modified since the last call and is not being written
  /// any more.
  bool hasChanged();

private:
  std::string Path; ///< Empty without --flagfile.
  std::filesystem::file_time_type LastModifiedAt{};
};

} // namespace peridot
