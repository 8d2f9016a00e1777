#include "service_folder.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

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
  for (const fs::path &File : Files) {
    auto Document = readServiceFile(File.string(), contentOf(File));
    if (Document)
      Read.Documents.push_back(std::move(*Document));
    else
      Read.Faults.insert(Read.Faults.end(), Document.error().begin(),
                         Document.error().end());
  }
  return Read;
}

} // namespace peridot
