#include "protocol/service_files/declarations.h"

#include <map>
#include <toml++/toml.h>
#include <utility>

namespace peridot {

namespace {

/// Collects the declarations of one file.
class declaration_collector {
public:
  explicit declaration_collector(std::string_view File) : File(File) {}

  void add(std::string_view Kind, const toml::node *Node, bool IsUse = false) {
    if (Node && Node->is_string())
      add(Kind, *Node->value<std::string>(), *Node, IsUse);
  }

  void add(std::string_view Kind, std::string Name, const toml::node &Place,
           bool IsUse = false) {
    Found.push_back({.Kind = std::string(Kind),
                     .Name = std::move(Name),
                     .File = std::string(File),
                     .Line = Place.source().begin.line,
                     .Column = Place.source().begin.column,
                     .IsUse = IsUse});
  }

  std::vector<declaration> take() { return std::move(Found); }

private:
  std::string_view File;
  std::vector<declaration> Found;
};

template <typename Handle>
void eachTable(const toml::table &Root, std::string_view Key, Handle Visit) {
  const toml::array *Array = Root[Key].as_array();
  if (!Array)
    return;
  for (const toml::node &Item : *Array)
    if (const toml::table *Table = Item.as_table())
      Visit(*Table);
}

template <typename Handle>
void eachItem(const toml::table &Table, std::string_view Key, Handle Visit) {
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
  eachItem(Route, "methods", [&](const toml::node &Method) {
    if (Method.is_string())
      Out.add("route", *Method.value<std::string>() + " " + Prefix, *Path);
  });
}

void addAccount(declaration_collector &Out, const toml::table &Account) {
  Out.add("account", Account.get("name"));
  eachItem(Account, "keys",
           [&](const toml::node &Key) { Out.add("key", &Key); });
  eachItem(Account, "services", [&](const toml::node &Service) {
    Out.add("service", &Service, true);
  });
}

file_fault faultAt(const declaration &Place, std::string Message,
                   std::string Remedy) {
  return {.File = Place.File,
          .Line = Place.Line,
          .Column = Place.Column,
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
    eachTable(Root, "route",
              [&](const toml::table &Route) { addRoute(Out, Route); });
    eachTable(Root, "target", [&](const toml::table &Target) {
      Out.add("target", Target.get("name"));
    });
    eachTable(Root, "account",
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
    if (Each.IsUse)
      continue;
    const auto [Entry, Added] =
        First.try_emplace({Each.Kind, Each.Name}, &Each);
    if (!Added)
      Faults.push_back(
          faultAt(Each, Each.Kind + " '" + Each.Name + "' is declared already",
                  "keep this or the one at " + Entry->second->File + ":" +
                      std::to_string(Entry->second->Line)));
  }
  for (const declaration &Each : Declarations)
    if (Each.IsUse && !First.contains({Each.Kind, Each.Name}))
      Faults.push_back(
          faultAt(Each, Each.Kind + " '" + Each.Name + "' is not declared",
                  "correct the name or add the file that declares it"));
  return Faults;
}

} // namespace peridot
