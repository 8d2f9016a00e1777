#include "stand_ins/object_platform/object_history.h"

#include <boost/json.hpp>

namespace peridot::stand_in {

namespace json = boost::json;

json::value object_history::store(const std::string &Kind,
                                  const std::string &Name, json::value Object) {
  ++Revision;
  Object.as_object()["metadata"] = {{"name", Name},
                                    {"revision", Revision},
                                    {"create-rev", Revision},
                                    {"finalizers", json::array()},
                                    {"deleting", false}};
  Kinds[Kind][Name] = Object;
  Events.push_back({.Revision = Revision, .Kind = Kind, .Object = Object});
  return Object;
}

std::optional<json::value> object_history::create(const std::string &Kind,
                                                  json::value Object) {
  const std::string Name(Object.at("metadata").at("name").as_string());
  if (Kinds[Kind].contains(Name))
    return std::nullopt;
  return store(Kind, Name, std::move(Object));
}

json::value object_history::replace(const std::string &Kind,
                                    const std::string &Name,
                                    json::value Object) {
  return store(Kind, Name, std::move(Object));
}

bool object_history::remove(const std::string &Kind, const std::string &Name) {
  const auto Found = Kinds[Kind].find(Name);
  if (Found == Kinds[Kind].end())
    return false;
  Events.push_back({.Revision = ++Revision,
                    .Kind = Kind,
                    .Object = std::move(Found->second),
                    .IsDeleted = true});
  Kinds[Kind].erase(Found);
  return true;
}

const json::value *object_history::find(const std::string &Kind,
                                        const std::string &Name) const {
  const auto Objects = Kinds.find(Kind);
  if (Objects == Kinds.end())
    return nullptr;
  const auto Found = Objects->second.find(Name);
  return Found == Objects->second.end() ? nullptr : &Found->second;
}

object_history::page object_history::list(const std::string &Kind,
                                          const std::string &After,
                                          std::size_t MaxItems) const {
  page Page;
  const auto Objects = Kinds.find(Kind);
  if (Objects == Kinds.end())
    return Page;
  for (auto Next = Objects->second.upper_bound(After);
       Next != Objects->second.end() && !Page.HasMore; ++Next)
    if (Page.Items.size() < MaxItems)
      Page.Items.push_back(Next->second);
    else
      Page.HasMore = true;
  return Page;
}

std::optional<std::vector<json::value>>
object_history::events(const std::string &Kind, std::uint64_t After) const {
  if (After < DiscardedUntil)
    return std::nullopt;
  std::vector<json::value> Found;
  for (const event &Each : Events)
    if (Each.Kind == Kind && Each.Revision > After)
      Found.push_back({{"object", Each.Object}, {"deleted", Each.IsDeleted}});
  return Found;
}

void object_history::discardHistory() {
  Events.clear();
  DiscardedUntil = Revision;
}

} // namespace peridot::stand_in
