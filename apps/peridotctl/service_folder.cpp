#include "service_folder.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "protocol/service_files/declarations.h"

namespace peridot {

namespace {

namespace fs = std::filesystem;

std::vector<fs::path> listTomlFiles(const std::string &Folder,
                                    std::error_code &Error) {
  std::vector<fs::path> Files;
  for (const auto &Entry : fs::directory_iterator(Folder, Error))
    if (Entry.path().extension() == ".toml")
      Files.push_back(Entry.path());
  std::ranges::sort(Files);
  return Files;
}

std::string readContent(const fs::path &File) {
  std::ostringstream Content;
  Content << std::ifstream(File).rdbuf();
  return Content.str();
}

} // namespace

result<service_folder> readServiceFolder(const std::string &Folder) {
  std::error_code Error;
  const std::vector<fs::path> Files = listTomlFiles(Folder, Error);
  if (Error || Files.empty())
    return fail(error_kind::InvalidInput,
                "folder '" + Folder + "' cannot be read or has no *.toml files",
                "give the folder that contains the service files");
  service_folder Contents;
  std::vector<declaration> Declarations;
  for (const fs::path &File : Files) {
    const std::string Content = readContent(File);
    for (declaration &Declaration : findDeclarations(File.string(), Content))
      Declarations.push_back(std::move(Declaration));
    auto Document = readServiceFile(File.string(), Content);
    if (Document)
      Contents.Documents.push_back(std::move(*Document));
    else
      Contents.Faults.insert(Contents.Faults.end(), Document.error().begin(),
                             Document.error().end());
  }
  const file_faults Conflicts = findConflicts(Declarations);
  Contents.Faults.insert(Contents.Faults.end(), Conflicts.begin(),
                         Conflicts.end());
  return Contents;
}

} // namespace peridot
