#include "service_folder.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "protocol/service_files/declarations.h"

namespace peridot {

namespace {

namespace fs = std::filesystem;

std::vector<fs::path> tomlFiles(const std::string &Folder,
                                std::error_code &Error) {
  std::vector<fs::path> Files;
  for (const auto &Entry : fs::directory_iterator(Folder, Error))
    if (Entry.path().extension() == ".toml")
      Files.push_back(Entry.path());
  std::ranges::sort(Files);
  return Files;
}

std::string contentOf(const fs::path &File) {
  std::ostringstream Content;
  Content << std::ifstream(File).rdbuf();
  return Content.str();
}

} // namespace

result<service_folder> readServiceFolder(const std::string &Folder) {
  std::error_code Error;
  const std::vector<fs::path> Files = tomlFiles(Folder, Error);
  if (Error || Files.empty())
    return fail(error_kind::InvalidInput,
                "folder '" + Folder + "' holds no *.toml files",
                "name the folder with the service files");
  service_folder Read;
  std::vector<declaration> Declarations;
  for (const fs::path &File : Files) {
    const std::string Content = contentOf(File);
    for (declaration &Each : findDeclarations(File.string(), Content))
      Declarations.push_back(std::move(Each));
    auto Document = readServiceFile(File.string(), Content);
    if (Document)
      Read.Documents.push_back(std::move(*Document));
    else
      Read.Faults.insert(Read.Faults.end(), Document.error().begin(),
                         Document.error().end());
  }
  const file_faults Conflicts = findConflicts(Declarations);
  Read.Faults.insert(Read.Faults.end(), Conflicts.begin(), Conflicts.end());
  return Read;
}

} // namespace peridot
