#include <chrono>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include "platform/hivecrest.h"
#include "support/store_fleet.h"

using namespace peridot;
using namespace peridot::test;
using namespace std::chrono_literals;

namespace {

/// Names of entries that mean something else in a URL, or nothing. All of them
/// stand between "a" and "z".
const std::vector<std::string> OddNames{"b c",
                                        "b%zz",
                                        "b%2B",
                                        "b&watch=0&wait-ms=20000",
                                        "b&c=1",
                                        "b\r\nX-Injected: 1",
                                        "b+c",
                                        "b#c",
                                        "b?c",
                                        "b/c",
                                        "b\xc3\xa9",
                                        "b\"\\",
                                        "b" + std::string(300, 'b')};

/// The platform's store and the adapter's calls to it.
struct store_list_fixture : store_fleet {
  /// Lists the targets. \returns nullopt if the call has not ended within 2 s.
  std::optional<result<store_items>> list() {
    constexpr auto ListTimeout = 2s;
    boost::asio::io_context Loop(1);
    const fleet_store Store = hivecrest::adapter().MakeStore(
        Loop, {boost::asio::ip::make_address("127.0.0.1"), PlatformPort});
    std::optional<result<store_items>> Listed;
    boost::asio::co_spawn(Loop, listInto(Store, Listed), boost::asio::detached);
    Loop.run_for(ListTimeout);
    return Listed;
  }

  /// Lists the targets. \returns their names, or what went wrong.
  std::string listedNames() {
    const auto Listed = list();
    if (!Listed)
      return "no end";
    if (!*Listed)
      return (*Listed).error().Message;
    std::string Names;
    for (const store_item &Item : (*Listed)->Items)
      Names += Names.empty() ? Item.Name : " | " + Item.Name;
    return (*Listed)->Gap ? Names + " | gap" : Names;
  }

  void createTargets(const std::vector<std::string> &Names) const {
    for (const std::string &Each : Names)
      createEntry("servers", Each, R"({"service":7})");
  }

private:
  static task<void> listInto(const fleet_store &Store,
                             std::optional<result<store_items>> &Listed) {
    Listed =
        co_await Store.List(fleet_collection::Targets, read_freshness::Current);
  }
};

} // namespace

// Guards against a name that ends a page and changes the request for the next
// one: the list did not end, ended early, or had entries twice.
TEST_CASE("list_oddNameEndsPage_allEntriesOnce") {
  for (const std::string Manner : {"strict=0", "strict=1"})
    for (const std::string &Odd : OddNames) {
      store_list_fixture Store;
      Store.createTargets({"a", Odd, "z"});
      Store.setPlatformLists("page_size=2&" + Manner);
      INFO(Manner);
      CHECK(Store.listedNames() == "a | " + Odd + " | z");
      CHECK(Store.platformCallCount("servers") == 2);
    }
}

// Guards against a store that returns the same page whatever the query says:
// the calls did not end, and the VM kept every page.
TEST_CASE_FIXTURE(store_list_fixture, "list_pageDoesNotAdvance_ends") {
  createTargets({"a", "b", "c", "d"});
  setPlatformLists("page_size=2&ignore_after=1");
  CHECK(listedNames() == "a | b | gap");
  CHECK(platformCallCount("servers") == 2);
}

// Guards against a part of a list that is taken for the whole.
TEST_CASE_FIXTURE(store_list_fixture, "list_pageWithoutNames_gapTold") {
  createTargets({"a", "n1", "n2", "z"});
  setPlatformLists("page_size=1&hidden_prefix=n");
  CHECK(listedNames() == "a | gap");
  setPlatformLists("page_size=3&hidden_prefix=n");
  CHECK(listedNames() == "a | z");
}
