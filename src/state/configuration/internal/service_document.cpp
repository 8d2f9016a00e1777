#include "state/configuration/types/service_document.h"

#include <optional>
#include <set>
#include <utility>

namespace peridot {

namespace {

/// Collects names and records the first duplicate.
class uniqueness_check {
public:
  void add(std::string_view Kind, std::string_view Name) {
    std::string Text = std::string(Kind) + " " + std::string(Name);
    if (!Seen.insert(Text).second && !Duplicate)
      Duplicate = std::move(Text);
  }

  const std::optional<std::string> &duplicate() const { return Duplicate; }

private:
  std::set<std::string> Seen;
  std::optional<std::string> Duplicate;
};

void addRoute(uniqueness_check &Check, const route &Route) {
  if (Route.Methods.empty())
    Check.add("route", "* " + Route.PathPrefix);
  for (const std::string &Method : Route.Methods)
    Check.add("route", Method + " " + Route.PathPrefix);
}

void addDocument(uniqueness_check &Check, const service_document &Document) {
  Check.add("service", Document.Service.Name.view());
  for (const route &Route : Document.Service.Routes)
    addRoute(Check, Route);
  for (const target &Target : Document.Service.Targets)
    Check.add("target", Target.Name.view());
  for (const client_account &Account : Document.Accounts) {
    Check.add("account", Account.Name.view());
    for (const key_digest &Digest : Account.Keys)
      Check.add("key digest", Digest.view());
  }
}

} // namespace

result<fleet_configuration>
assemble(revision Revision, std::span<const service_document> Documents) {
  uniqueness_check Check;
  fleet_configuration Configuration{.Revision = Revision};
  for (const service_document &Document : Documents) {
    addDocument(Check, Document);
    Configuration.Services.push_back(Document.Service);
    Configuration.Accounts.insert(Configuration.Accounts.end(),
                                  Document.Accounts.begin(),
                                  Document.Accounts.end());
  }
  if (Check.duplicate())
    return fail(error_kind::Conflict,
                *Check.duplicate() + " is declared more than once",
                "remove all declarations but one");
  return Configuration;
}

} // namespace peridot
