#include "protocol/service_files/internal/table_reader.h"

#include <algorithm>

#include "protocol/text/usable_name.h"

namespace peridot {

void table_reader::addFault(const toml::node *Node, std::string Message,
                            std::string Remedy) const {
  const toml::source_region &Location = Node ? Node->source() : Table.source();
  Faults.push_back({.File = std::string(File),
                    .Line = Location.begin.line,
                    .Column = Location.begin.column,
                    .Message = std::move(Message),
                    .Remedy = std::move(Remedy)});
}

const toml::node *table_reader::find(std::string_view Key) {
  ReadKeys.push_back(Key);
  return Table.get(Key);
}

const toml::node *table_reader::require(std::string_view Key) {
  const toml::node *Node = find(Key);
  if (!Node)
    addFault(nullptr, "key '" + std::string(Key) + "' is missing",
             "add '" + std::string(Key) + " = ...'");
  return Node;
}

std::string table_reader::requireString(std::string_view Key) {
  const toml::node *Node = require(Key);
  if (!Node)
    return {};
  if (const auto Text = Node->value<std::string>(); Text && !Text->empty())
    return *Text;
  addFault(Node, "'" + std::string(Key) + "' is not a non-empty string",
           "write it in quotes");
  return {};
}

std::string table_reader::requireName(std::string_view Key) {
  std::string Name = requireString(Key);
  if (!Name.empty() && !isUsableName(Name))
    addFault(Table.get(Key),
             "'" + std::string(Key) + "' is not a name that can be used",
             "use no control characters, no blanks at its ends and at most " +
                 std::to_string(MaxNameBytes) + " bytes");
  return Name;
}

std::string table_reader::stringOr(std::string_view Key,
                                   std::string_view Default) {
  if (!Table.contains(Key)) {
    ReadKeys.push_back(Key);
    return std::string(Default);
  }
  return requireString(Key);
}

std::int64_t table_reader::integerOr(std::string_view Key, std::int64_t Default,
                                     std::int64_t Min, std::int64_t Max) {
  const toml::node *Node = find(Key);
  if (!Node)
    return Default;
  const auto Number = Node->value_exact<std::int64_t>();
  if (Number && *Number >= Min && *Number <= Max)
    return *Number;
  addFault(Node,
           "'" + std::string(Key) + "' is not a whole number in its range",
           "use a whole number from " + std::to_string(Min) + " to " +
               std::to_string(Max));
  return Default;
}

std::int64_t table_reader::requireInteger(std::string_view Key,
                                          std::int64_t Min, std::int64_t Max) {
  if (!Table.contains(Key)) {
    require(Key);
    return Min;
  }
  return integerOr(Key, Min, Min, Max);
}

double table_reader::requirePositive(std::string_view Key) {
  const toml::node *Node = require(Key);
  if (!Node)
    return 0;
  const auto Number = Node->value<double>();
  if (Number && *Number > 0 && *Number <= 1e9)
    return *Number;
  addFault(Node, "'" + std::string(Key) + "' is not a number in its range",
           "use a number above 0 and up to 1e9");
  return 0;
}

bool table_reader::boolOr(std::string_view Key, bool Default) {
  const toml::node *Node = find(Key);
  if (!Node)
    return Default;
  if (const auto Flag = Node->value_exact<bool>())
    return *Flag;
  addFault(Node, "'" + std::string(Key) + "' is not a boolean",
           "use true or false");
  return Default;
}

std::vector<std::string> table_reader::stringsOrEmpty(std::string_view Key) {
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

std::vector<const toml::table *>
table_reader::tablesOrEmpty(std::string_view Key) {
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

void table_reader::reportUnknownKeys() const {
  for (const auto &[Key, Node] : Table) {
    if (std::ranges::find(ReadKeys, Key.str()) != ReadKeys.end())
      continue;
    Faults.push_back(
        {.File = std::string(File),
         .Line = Key.source().begin.line,
         .Column = Key.source().begin.column,
         .Message = "key '" + std::string(Key.str()) + "' is unknown",
         .Remedy = "remove the key or correct its spelling"});
  }
}

} // namespace peridot
