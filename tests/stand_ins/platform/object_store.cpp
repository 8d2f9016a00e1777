#include "stand_ins/platform/object_store.h"

namespace peridot::stand_in {

const stored_value *object_store::find(const std::string &Name) const {
  const auto Found = Objects.find(Name);
  return Found == Objects.end() ? nullptr : &Found->second;
}

std::uint64_t object_store::write(const std::string &Name,
                                  std::uint64_t Expected, std::string Body) {
  const stored_value *Current = find(Name);
  if ((Current ? Current->Version : 0) != Expected)
    return 0;
  Objects[Name] = {Expected + 1, std::move(Body)};
  return Expected + 1;
}

void object_store::setVmList(std::string Json, time_point Now) {
  Lists.push_back({Now, std::move(Json)});
}

std::string_view object_store::vmList(time_point Now) const {
  for (auto Each = Lists.rbegin(); Each != Lists.rend(); ++Each)
    if (Now - Each->At >= Faults.ListLag)
      return Each->Json;
  return "[]";
}

} // namespace peridot::stand_in
