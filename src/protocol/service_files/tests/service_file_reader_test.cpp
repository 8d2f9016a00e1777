#include "protocol/service_files/service_file_reader.h"

#include <doctest/doctest.h>

using namespace peridot;

TEST_CASE("readServiceFile_validFile_fieldsRead") {
  const auto Document = readServiceFile("hive.toml", R"(
service = "hive"
floor_percent = 60
ejection = "fast"
[[route]]
path = "/hive"
methods = ["GET"]
repeatable = true
deadline_ms = 1500
[[target]]
name = "hive-1"
data_center = "lakes-a"
address = "127.0.0.1"
port = 8080
[[account]]
name = "keepers"
rate = 10
burst = 20.5
)");
  REQUIRE(Document);
  CHECK(Document->Service.FloorPercent == 60);
  CHECK(Document->Service.Routes.at(0).Deadline.count() == 1500);
  CHECK(Document->Service.Targets.at(0).Slots == 3);
  CHECK(Document->Accounts.at(0).Limit.Burst == 20.5);
}

TEST_CASE("readServiceFile_severalFaults_allReportedWithLocation") {
  const auto Document = readServiceFile("hive.toml", R"(service = "hive"
flor_percent = 60
[[route]]
path = "hive"
[[target]]
name = "hive-1"
data_center = "lakes-a"
address = "hive.example"
port = 0
)");
  REQUIRE_FALSE(Document);
  const file_faults &Faults = Document.error();
  REQUIRE(Faults.size() == 4);
  CHECK(Faults[0].text() == "hive.toml:4:8: 'path' does not start with '/'; "
                            "write an absolute path");
  CHECK(Faults[1].Line == 8);
  CHECK(Faults[2].Line == 9);
  CHECK(Faults[3].Message == "key 'flor_percent' is unknown");
  CHECK(Faults[3].Line == 2);
}

TEST_CASE("readServiceFile_invalidSyntax_oneFault") {
  const auto Document = readServiceFile("x.toml", "service = ");
  REQUIRE_FALSE(Document);
  CHECK(Document.error().size() == 1);
  CHECK(Document.error()[0].Line == 1);
}

// Guards against a name that adds a header field to requests.
TEST_CASE("readServiceFile_nameUnusable_faultNamed") {
  const auto Document = readServiceFile("hive.toml", R"(
service = "hive"
[[account]]
name = "keepers\r\nX-Injected: 1"
rate = 10
burst = 20
)");
  REQUIRE_FALSE(Document);
  REQUIRE(Document.error().size() == 1);
  CHECK(Document.error()[0].Line == 4);
}
