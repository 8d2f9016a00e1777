#include "support/caller_fixture.h"

#include <sstream>

namespace peridot::test {

namespace {

std::string openRoute(const std::string &Path, const std::string &Extra) {
  return "[[route]]\npath = \"" + Path + "\"\nopen = true\n" + Extra + "\n";
}

} // namespace

caller_fixture::caller_fixture(const std::vector<std::string> &NodeFlags) {
  addTarget("hive-1", "lakes-a");
  addNode("vm-1", "lakes-a", NodeFlags);
  updateVmList();
  writeServiceFile("hive", openRoute("/hive", "repeatable = true") +
                               openRoute("/once", "") +
                               openRoute("/small", "max_body_bytes = 65536") +
                               openRoute("/quick", "deadline_ms = 500") +
                               "[[route]]\npath = \"/keyed\"\n" +
                               accountToml("keepers", "secret", 1000, 1000));
  publish("callers' side");
  awaitRevision(1);
  awaitReady(*Nodes.front());
}

std::string caller_fixture::sendRaw(const std::string &Bytes) const {
  return http_connection(port()).sendRaw(Bytes);
}

std::uint64_t caller_fixture::metric(const std::string &Series) const {
  std::istringstream Lines(
      httpCall(Nodes.front()->OperatorPort, {.Path = "/metrics"}).Body);
  std::uint64_t Sum = 0;
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.starts_with(Series))
      Sum += std::stoull(Line.substr(Line.rfind(' ') + 1));
  return Sum;
}

void caller_fixture::awaitMetric(const std::string &Series,
                                 std::uint64_t Minimum) const {
  awaitCondition(Series, [&] { return metric(Series) >= Minimum; });
}

} // namespace peridot::test
