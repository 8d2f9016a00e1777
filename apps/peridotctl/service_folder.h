/// \file
/// Reads all service files of a folder.
#pragma once

#include <string>
#include <vector>

#include "protocol/service_files/service_file_reader.h"

namespace peridot {

/// Contents of a folder: the documents of its valid files and the faults of the
/// others.
struct service_folder {
  std::vector<service_document> Documents;
  file_faults Faults;
};

/// Reads every *.toml file of \p Folder, sorted by name.
result<service_folder> readServiceFolder(const std::string &Folder);

} // namespace peridot
