#include "protocol/service_files/declarations.h"

#include <map>
#include <toml++/toml.h>
#include <utility>

namespace peridot {

namespace {

/// Collects the declarations and references of one file.
class declaration_collector {
public:
  explicit declaration_collector(std::string_view File) : File(File) {}

  void add(std::string_view Kind, const toml::node *Node,
           bool IsReference = false) {
    if (Node && Node->is_string())
      add(Kind, *Node->value<std::string>(), *Node, IsReference);
  }

  void add(std::string_view Kind, std::string Name, const toml::node &Location,
           bool IsReference = false) {
    Found.push_back({.Kind = std::string(Kind),
                     .Name = std::move(Name),
                     .File = std::string(File),
                     .Line = Location.source().begin.line,
                     .Column = Location.source().begin.column,
                     .IsReference = IsReference});
  }

  std::vector<declaration> take() { return std::move(Found); }

private:
  std::string_view File;
  std::vector<declaration> Found;
};

template <typename Visitor>
void forEachTable(const toml::table &Root, std::string_view Key,
                  Visitor Visit) {
  const toml::array *Array = Root[Key].as_array();
  if (!Array)
    return;
  for (const toml::node &Item : *Array)
    if (const toml::table *Table = Item.as_table())
      Visit(*Table);
}

template <typename Visitor>
void forEachItem(const toml::table &Table, std::string_view Key,
                 Visitor Visit) {
  if (const toml::array *Array = Table[Key].as_array())
    for (const toml::node &Item : *Array)
      Visit(Item);
}

void addRoute(declaration_collector &Out, const toml::table &Route) {
  const toml::node *Path = Route.get("path");
  if (!Path || !Path->is_string())
    return;
  const std::string Prefix = *Path->value<std::string>();
  const toml::array *Methods = Route["methods"].as_array();
  if (!Methods || Methods->empty())
    Out.add("route", "* " + Prefix, *Path);
  forEachItem(Route, "methods", [&](const toml::node &Method) {
    if (Method.is_string())
      Out.add("route", *Method.value<std::string>() + " " + Prefix, *Path);
  });
}

void addAccount(declaration_collector &Out, const toml::table &Account) {
  Out.add("account", Account.get("name"));
  forEachItem(Account, "keys",
              [&](const toml::node &Key) { Out.add("key", &Key); });
  forEachItem(Account, "services", [&](const toml::node &Service) {
    Out.add("service", &Service, true);
  });
}

file_fault faultAt(const declaration &Location, std::string Message,
                   std::string Remedy) {
  return {.File = Location.File,
          .Line = Location.Line,
          .Column = Location.Column,
          .Message = std::move(Message),
          .Remedy = std::move(Remedy)};
}

} // namespace

std::vector<declaration> findDeclarations(std::string_view File,
                                          std::string_view Toml) {
  declaration_collector Out(File);
  try {
    const toml::table Root = toml::parse(Toml);
    Out.add("service", Root.get("service"));
    forEachTable(Root, "route",
                 [&](const toml::table &Route) { addRoute(Out, Route); });
    forEachTable(Root, "target", [&](const toml::table &Target) {
      Out.add("target", Target.get("name"));
    });
    forEachTable(Root, "account",
                 [&](const toml::table &Account) { addAccount(Out, Account); });
  } catch (const toml::parse_error &) {
    return {};
  }
  return Out.take();
}

file_faults findConflicts(std::span<const declaration> Declarations) {
  using kind_and_name = std::pair<std::string_view, std::string_view>;
  std::map<kind_and_name, const declaration *> First;
  file_faults Faults;
  for (const declaration &Each : Declarations) {
    if (Each.IsReference)
      continue;
    const auto [Entry, Added] =
        First.try_emplace({Each.Kind, Each.Name}, &Each);
    if (!Added)
      Faults.push_back(faultAt(
          Each, Each.Kind + " '" + Each.Name + "' is declared already",
          "remove this declaration or the one at " + Entry->second->File + ":" +
              std::to_string(Entry->second->Line)));
  }
  for (const declaration &Each : Declarations)
    if (Each.IsReference && !First.contains({Each.Kind, Each.Name}))
      Faults.push_back(
          faultAt(Each, Each.Kind + " '" + Each.Name + "' is not declared",
                  "correct the name, or add the file that declares it"));
  return Faults;
}

} // namespace peridot
