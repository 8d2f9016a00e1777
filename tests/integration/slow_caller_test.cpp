#include <chrono>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "support/faulty_target_fixture.h"
#include "support/store_fleet.h"

using namespace peridot::test;
using namespace std::chrono_literals;

namespace {

/// Well above the time for which a caller may stand still, and below the
/// deadline of /raw-upload.
constexpr std::chrono::seconds MaxHeldTime{13};

/// The scripted target reports when the node has ended its connection.
struct stalled_caller_fixture : faulty_target_fixture {
  /// \p Run is called with the connection after the head of a request.
  template <typename Callable> void addTargetThatNotesEnd(Callable Run) {
    addScriptedTarget([this, Run](scripted_connection &Connection) {
      Run(Connection);
      Connection.readToEnd();
      Ended.set_value();
    });
  }

  void checkTargetFreed() {
    CHECK(Ended.get_future().wait_for(MaxHeldTime) ==
          std::future_status::ready);
  }

  std::promise<void> Ended;
};

/// A VM with a memory of 48 MB, and uploads that stop halfway.
struct many_uploads_fixture : store_fleet {
  static constexpr int UploadCount = 40;
  static constexpr int Slots = 100;
  static constexpr std::size_t UploadBytes = 500'000;
  /// The budget of such a VM is 12 MB, of which request bodies take half and
  /// the buffers of streamed uploads a part. Without it these uploads take at
  /// least 20 MB.
  static constexpr std::size_t MaxExtraKilobytes = 16U << 10U;

  many_uploads_fixture() {
    NodeFlags = {"--memory_mb=48"};
    RouteTimeout = "20s";
    writeConfiguration(1, {{.Name = "keepers",
                            .Keys = {"keeper-key"},
                            .RequestsPerSecond = 400,
                            .Burst = 400}});
    addTarget("hive-1", "lakes-a", Slots)
        .Target.setBehaviour("answer_bytes=10");
    addNode("vm-1", "lakes-a");
    awaitReady(*Nodes.front());
    awaitCondition("a share of the account's limit", [this] {
      return callWithKey(port(), "/logs/", "keeper-key", "first").Status == 200;
    });
  }

  std::uint16_t port() const { return Nodes.front()->Node.CallerPort; }
  const process &node() const { return *Nodes.front()->Node.Process; }

  /// Sends all but the end of the uploads.
  void beginUploads() {
    const std::string Body(UploadBytes - 1, 'b');
    for (int Count = 0; Count < UploadCount; ++Count) {
      Callers.push_back(std::make_unique<http_connection>(port()));
      REQUIRE(Callers.back()->send(
          "POST /logs/ HTTP/1.1\r\nHost: fleet\r\nAuthorization: Bearer "
          "keeper-key\r\n"
          "X-Request-Id: upload" +
          std::to_string(Count) + "\r\nX-Deadline-Ms: 20000\r\n" +
          "Content-Length: " + std::to_string(UploadBytes) + "\r\n\r\n" +
          Body));
    }
  }

  std::vector<std::unique_ptr<http_connection>> Callers;
};

} // namespace

// Guards against a caller that reads nothing and so keeps the target's slot and
// connection until the deadline of 20 s.
TEST_CASE_FIXTURE(stalled_caller_fixture,
                  "node_callerStopsReading_targetFreedBeforeDeadline") {
  addTargetThatNotesEnd([](scripted_connection &Connection) {
    Connection.send("HTTP/1.1 200 OK\r\nPeridot-Attempt-Id: " +
                    attemptIdOf(Connection) + "\r\n\r\n");
    while (Connection.send(std::string(60'000, 'b'))) {
    }
  });
  http_connection Caller(port());
  Caller.send("GET /raw-upload HTTP/1.1\r\nHost: fleet\r\n\r\n");
  checkTargetFreed();
}

// Guards against an upload that stops and so keeps the target's slot and
// connection until the deadline of 20 s.
TEST_CASE_FIXTURE(stalled_caller_fixture,
                  "node_callerStopsSending_targetFreedBeforeDeadline") {
  addTargetThatNotesEnd([](scripted_connection &) {});
  http_connection Caller(port());
  Caller.send("POST /raw-upload HTTP/1.1\r\nHost: fleet\r\n"
              "Content-Length: 900000\r\n\r\n" +
              std::string(100'000, 'b'));
  checkTargetFreed();
  const client_response Response = Caller.receive();
  CHECK(Response.Status == 504);
  CHECK(Response.Fields.at("peridot-outcome") == "unknown");
}

// Guards against uploads that together take more memory than the VM has. All
// of them are served when the callers go on: what does not fit is streamed.
TEST_CASE_FIXTURE(many_uploads_fixture,
                  "node_manyUploadsOnSmallVm_servedWithBoundedMemory") {
  const std::size_t Before = node().peakMemoryKilobytes();
  beginUploads();
  std::this_thread::sleep_for(500ms);
  for (const auto &Each : Callers)
    REQUIRE(Each->send("b"));
  for (const auto &Each : Callers) {
    const client_response Response = Each->receive();
    INFO(Response.Error, Response.Body);
    CHECK(Response.Status == 200);
  }
  CHECK(node().peakMemoryKilobytes() - Before < MaxExtraKilobytes);
}
