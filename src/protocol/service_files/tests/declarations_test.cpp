#include "protocol/service_files/declarations.h"

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct declarations_fixture {
  std::vector<declaration> All;

  void add(std::string_view File, std::string_view Toml) {
    for (declaration &Each : findDeclarations(File, Toml))
      All.push_back(std::move(Each));
  }
};

} // namespace

TEST_CASE_FIXTURE(declarations_fixture,
                  "findConflicts_namesInTwoFiles_reportedWithLocation") {
  add("a.toml", "service = \"hive\"\n[[account]]\nname = \"keepers\"\n"
                "keys = [\"k1\"]\n");
  add("b.toml", "service = \"crew\"\n[[account]]\nname = \"keepers\"\n"
                "keys = [\"k2\",\n\"k1\"]\nservices = [\"hive\", \"hvie\"]\n");
  const file_faults Faults = findConflicts(All);
  REQUIRE(Faults.size() == 3);
  CHECK(Faults[0].text() ==
        "b.toml:3:8: account 'keepers' is declared already; "
        "remove this declaration or the one at a.toml:3");
  CHECK(Faults[1].Line == 5);
  CHECK(Faults[2].Message == "service 'hvie' is not declared");
}

TEST_CASE_FIXTURE(declarations_fixture,
                  "findConflicts_samePathAndMethod_reported") {
  add("a.toml", "service = \"hive\"\n[[route]]\npath = \"/x\"\n"
                "methods = [\"GET\", \"PUT\"]\n[[route]]\npath = \"/x\"\n");
  CHECK(findConflicts(All).empty());
  add("b.toml", "service = \"crew\"\n[[route]]\npath = \"/x\"\n"
                "methods = [\"PUT\"]\n");
  CHECK(findConflicts(All).at(0).Message ==
        "route 'PUT /x' is declared already");
}
