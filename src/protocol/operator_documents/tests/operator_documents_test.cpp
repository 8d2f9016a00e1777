#include "protocol/operator_documents/operator_documents.h"

#include <doctest/doctest.h>

using namespace peridot;

TEST_CASE("operatorDocuments_encodedDocument_roundTrips") {
  const vm_status Status{.Vm = {vm_name("vm-1"), {7}},
                         .DataCenter = data_center_name("lakes-a"),
                         .Revision = {3},
                         .KeysAreFresh = true,
                         .Freshness = "confirmed",
                         .IsWatcher = true,
                         .Evacuated = {data_center_name("lakes-b")}};
  CHECK(decodeStatus(encodeStatus(Status)).value() == Status);
  const std::vector<journal_entry> Entries{
      {.At = std::chrono::system_clock::time_point(std::chrono::seconds(9)),
       .Vm = "vm-1",
       .Decision = "target-ejected",
       .Name = "hive-1"}};
  CHECK(decodeJournal(encodeJournal(Entries)).value() == Entries);
  const std::vector<subject_burn> Rows{
      {.Subject = {service_name("hive"), account_name("keepers")},
       .Totals = {request_totals{1, 2}, {3, 4}, {5, 6}}}};
  CHECK(decodeBurn(encodeBurn(Rows)).value() == Rows);
}

TEST_CASE("operatorDocuments_unexpectedJson_protocolError") {
  CHECK(decodeStatus("{}").error().Kind == error_kind::Protocol);
  CHECK(decodeJournal("{}").error().Kind == error_kind::Protocol);
  CHECK(decodeBurn("[1]").error().Kind == error_kind::Protocol);
}
