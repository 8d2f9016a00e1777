#include "coordination/limits/share_bucket.h"

#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "coordination/limits/share_directory.h"

using namespace peridot;
using namespace std::chrono_literals;

namespace {

struct share_bucket_fixture {
  share_bucket Bucket;
  instant Start{1h};

  int takeAll(instant Now) {
    int Taken = 0;
    while (Bucket.take(Now))
      ++Taken;
    return Taken;
  }
};

} // namespace

TEST_CASE_FIXTURE(share_bucket_fixture, "take_fullBucket_burstThenRate") {
  Bucket.open({{.Rate = 10, .Burst = 5}, 5, Start + 1min}, Start);
  CHECK(takeAll(Start) == 5);
  CHECK(Bucket.nextToken(Start) == Start + 100ms);
  CHECK(takeAll(Start + 250ms) == 2);
}

TEST_CASE_FIXTURE(share_bucket_fixture, "take_shareExpired_refused") {
  Bucket.open({{.Rate = 10, .Burst = 5}, 5, Start + 1s}, Start);
  CHECK(Bucket.take(Start + 999ms));
  CHECK(!Bucket.take(Start + 1s));
  CHECK(Bucket.close(Start + 1s) == 0);
}

TEST_CASE_FIXTURE(share_bucket_fixture, "close_tokensLeft_returnedOnce") {
  Bucket.open({{.Rate = 10, .Burst = 5}, 4, Start + 1min}, Start);
  CHECK(Bucket.take(Start));
  CHECK(Bucket.close(Start) == doctest::Approx(3));
  CHECK(Bucket.close(Start) == 0);
  CHECK(!Bucket.take(Start));
}

TEST_CASE_FIXTURE(share_bucket_fixture, "take_manyThreads_neverAboveBurst") {
  constexpr double Burst = 1'000;
  Bucket.open({{.Rate = 1, .Burst = Burst}, Burst, Start + 1min}, Start);
  std::atomic<int> Taken{0};
  std::vector<std::thread> Threads;
  for (int Index = 0; Index < 4; ++Index)
    Threads.emplace_back([&] {
      for (int Count = 0; Count < 1'000; ++Count)
        Taken += Bucket.take(Start) ? 1 : 0;
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  CHECK(Taken <= Burst);
  CHECK(Taken + takeAll(Start) == Burst);
}

TEST_CASE("directory_tableReplaced_newSharesFound") {
  share_directory Directory;
  const account_name Name("keepers");
  CHECK(Directory.find(Name) == nullptr);
  auto Table = std::make_shared<share_table>();
  Table->emplace(Name, std::make_shared<account_share>());
  Directory.replace(Table);
  REQUIRE(Directory.find(Name) == Table->at(Name).get());
  const rate_decision Decision = Directory.find(Name)->take(instant(1h));
  REQUIRE(std::holds_alternative<rate_refused>(Decision));
  CHECK(std::get<rate_refused>(Decision).ShareRequested);
  Directory.replace(std::make_shared<share_table>());
  CHECK(Directory.find(Name) == nullptr);
}
