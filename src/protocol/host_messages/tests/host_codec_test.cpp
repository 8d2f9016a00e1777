#include "protocol/host_messages/host_codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace peridot;

TEST_CASE("hostCodec_hostReport_roundTrips") {
  const host_message Message = host_report{
      .Ready = true,
      .RequestsPerSecond = 12.5,
      .Demands = {{.Account = account_name("keepers"), .PerSecond = 2.5}}};
  CHECK(decodeHostMessage(encodeHostMessage(Message)) == Message);
}

TEST_CASE("hostCodec_dataCenterReport_roundTrips") {
  const host_message Message = data_center_report{
      .DataCenter = data_center_name("lakes-b"),
      .Hosts = {vm_name("vm-1"), vm_name("vm-2")},
      .Weights = {{.Account = account_name("keepers"), .Weight = 7.5}}};
  CHECK(decodeHostMessage(encodeHostMessage(Message)) == Message);
}

// Guards against a report of no demand that is taken for one of an earlier
// version, which says nothing.
TEST_CASE("hostCodec_servicesOfReports_emptyDiffersFromAbsent") {
  host_report Report{.Ready = true};
  CHECK(decodeHostMessage(encodeHostMessage(Report)) == host_message(Report));
  Report.Services.emplace();
  CHECK(decodeHostMessage(encodeHostMessage(Report)) == host_message(Report));
  Report.Services->push_back({service_name("api"), 2.5});
  CHECK(decodeHostMessage(encodeHostMessage(Report)) == host_message(Report));
  const host_message DataCenter =
      data_center_report{.DataCenter = data_center_name("lakes-b"),
                         .Hosts = {vm_name("vm-1")},
                         .Services = Report.Services};
  CHECK(decodeHostMessage(encodeHostMessage(DataCenter)) == DataCenter);
}

TEST_CASE("hostCodec_viewOfReports_roundTripsInFewBytes") {
  constexpr std::size_t MaxExtraBytes = 8;
  host_report Report{.Ready = true, .RequestsPerSecond = 12.5};
  const std::size_t WithoutView = encodeHostMessage(Report).size();
  Report.View = 0xfedcba98;
  const auto Encoded = encodeHostMessage(Report);
  CHECK(decodeHostMessage(Encoded) == host_message(Report));
  CHECK(Encoded.size() <= WithoutView + MaxExtraBytes);
  const host_message DataCenter =
      data_center_report{.DataCenter = data_center_name("lakes-b"),
                         .Hosts = {vm_name("vm-1")},
                         .View = 7};
  CHECK(decodeHostMessage(encodeHostMessage(DataCenter)) == DataCenter);
}

TEST_CASE("hostCodec_evidenceOfLeavingTarget_roundTrips") {
  const host_message Message =
      evidence_batch{{{.Target = target_name("hive-1"),
                       .End = attempt_end::Shed,
                       .Count = 2,
                       .IsLeaving = true,
                       .StartedAt = 1'780'000'000'000}}};
  const auto Decoded = decodeHostMessage(encodeHostMessage(Message));
  REQUIRE(Decoded);
  CHECK(*Decoded == Message);
}

TEST_CASE("hostCodec_evidenceBatch_roundTrips") {
  const host_message Message = evidence_batch{{{.Target = target_name("hive-1"),
                                                .End = attempt_end::TimedOut,
                                                .Count = 3}}};
  CHECK(decodeHostMessage(encodeHostMessage(Message)) == Message);
}

TEST_CASE("hostCodec_reserveRequestAndGrant_roundTrip") {
  const host_message Request = reserve_request{account_name("keepers"), 3};
  CHECK(decodeHostMessage(encodeHostMessage(Request)) == Request);
  const host_message Grant = reserve_grant{account_name("keepers"), 2};
  CHECK(decodeHostMessage(encodeHostMessage(Grant)) == Grant);
}

TEST_CASE("hostCodec_randomBytes_decodedOrRefusedWithoutCrash") {
  CHECK(rc::check([](const std::vector<std::uint8_t> &Bytes) {
    decodeHostMessage(std::as_bytes(std::span(Bytes)));
  }));
}
