/// \file
/// Reads all service files of a folder.
#pragma once

#include <string>
#include <vector>

#include "protocol/service_files/service_file_reader.h"

namespace peridot {

/// What a folder holds: documents, or the faults of all its files.
struct service_folder {
  std::vector<service_document> Documents;
  file_faults Faults;
};

/// Reads every *.toml file of \p Folder, in order of names.
result<service_folder> readServiceFolder(const std::string &Folder);

} // namespace peridot
