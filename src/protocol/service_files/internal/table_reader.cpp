#include "protocol/service_files/internal/table_reader.h"

#include <algorithm>

namespace peridot {

void table_reader::addFault(const toml::node *Node, std::string Message,
                            std::string Remedy) const {
  const toml::source_region &Place = Node ? Node->source() : Table.source();
  Faults.push_back({.File = std::string(File),
                    .Line = Place.begin.line,
                    .Column = Place.begin.column,
                    .Message = std::move(Message),
                    .Remedy = std::move(Remedy)});
}

const toml::node *table_reader::find(std::string_view Key) {
  Known.push_back(Key);
  return Table.get(Key);
}

const toml::node *table_reader::require(std::string_view Key) {
  const toml::node *Node = find(Key);
  if (!Node)
    addFault(nullptr, "key '" + std::string(Key) + "' is missing",
             "add '" + std::string(Key) + " = ...'");
  return Node;
}

std::string table_reader::requireText(std::string_view Key) {
  const toml::node *Node = require(Key);
  if (!Node)
    return {};
  if (const auto Text = Node->value<std::string>(); Text && !Text->empty())
    return *Text;
  addFault(Node, "'" + std::string(Key) + "' is not a non-empty string",
           "write it in quotes");
  return {};
}

std::string table_reader::textOr(std::string_view Key,
                                 std::string_view Default) {
  if (!Table.contains(Key)) {
    Known.push_back(Key);
    return std::string(Default);
  }
  return requireText(Key);
}

std::int64_t table_reader::integerOr(std::string_view Key, std::int64_t Default,
                                     std::int64_t Least, std::int64_t Most) {
  const toml::node *Node = find(Key);
  if (!Node)
    return Default;
  const auto Number = Node->value_exact<std::int64_t>();
  if (Number && *Number >= Least && *Number <= Most)
    return *Number;
  addFault(Node, "'" + std::string(Key) + "' is out of range",
           "use a whole number from " + std::to_string(Least) + " to " +
               std::to_string(Most));
  return Default;
}

std::int64_t table_reader::requireInteger(std::string_view Key,
                                          std::int64_t Least,
                                          std::int64_t Most) {
  if (!Table.contains(Key)) {
    require(Key);
    return Least;
  }
  return integerOr(Key, Least, Least, Most);
}

double table_reader::requirePositive(std::string_view Key) {
  const toml::node *Node = require(Key);
  if (!Node)
    return 0;
  const auto Number = Node->value<double>();
  if (Number && *Number > 0 && *Number <= 1e9)
    return *Number;
  addFault(Node, "'" + std::string(Key) + "' is not a positive number",
           "use a number above 0 and up to 1e9");
  return 0;
}

bool table_reader::flagOr(std::string_view Key, bool Default) {
  const toml::node *Node = find(Key);
  if (!Node)
    return Default;
  if (const auto Flag = Node->value_exact<bool>())
    return *Flag;
  addFault(Node, "'" + std::string(Key) + "' is not a boolean",
           "use true or false");
  return Default;
}

std::vector<std::string> table_reader::textsOr(std::string_view Key) {
  std::vector<std::string> Texts;
  const toml::node *Node = find(Key);
  if (!Node)
    return Texts;
  const toml::array *Array = Node->as_array();
  if (!Array) {
    addFault(Node, "'" + std::string(Key) + "' is not a list",
             "write [\"...\"]");
    return Texts;
  }
  for (const toml::node &Item : *Array) {
    if (const auto Text = Item.value<std::string>())
      Texts.push_back(*Text);
    else
      addFault(&Item, "item of '" + std::string(Key) + "' is not a string",
               "write it in quotes");
  }
  return Texts;
}

std::vector<const toml::table *> table_reader::tables(std::string_view Key) {
  std::vector<const toml::table *> Tables;
  const toml::node *Node = find(Key);
  if (!Node)
    return Tables;
  const toml::array *Array = Node->as_array();
  if (!Array || !Array->is_homogeneous<toml::table>()) {
    addFault(Node, "'" + std::string(Key) + "' is not a list of tables",
             "write [[" + std::string(Key) + "]]");
    return Tables;
  }
  for (const toml::node &Item : *Array)
    Tables.push_back(Item.as_table());
  return Tables;
}

void table_reader::finish() const {
  for (const auto &[Key, Node] : Table) {
    if (std::ranges::find(Known, Key.str()) != Known.end())
      continue;
    Faults.push_back(
        {.File = std::string(File),
         .Line = Key.source().begin.line,
         .Column = Key.source().begin.column,
         .Message = "key '" + std::string(Key.str()) + "' is unknown",
         .Remedy = "remove it or correct its spelling"});
  }
}

} // namespace peridot
