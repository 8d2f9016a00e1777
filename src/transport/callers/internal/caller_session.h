/// \file
/// A caller's connection: reads and serves its requests one after the other.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

#include "coordination/capacity/urgency.h"
#include "coordination/routing/admission.h"
#include "transport/callers/internal/relay_watch.h"
#include "transport/callers/internal/request_progress.h"
#include "transport/callers/internal/unanswered_request.h"
#include "transport/callers/traffic_worker.h"

namespace peridot {

using caller_request_parser =
    boost::beast::http::request_parser<boost::beast::http::buffer_body>;

/// Serves one caller connection.
class caller_session {
public:
  /// Serves the connection until it closes.
  static task<void> serve(traffic_worker &Worker, tcp_stream Stream);
  /// Responds that the connection limit is reached and closes the connection.
  static task<void> rejectConnection(traffic_worker &Worker, tcp_stream Stream);

  ~caller_session();
  caller_session(const caller_session &) = delete;
  caller_session &operator=(const caller_session &) = delete;

private:
  caller_session(traffic_worker &Worker, tcp_stream Stream)
      : Worker(Worker), Stream(std::move(Stream)),
        Watch(std::make_shared<relay_watch>(Worker.loop(), this->Stream)) {}

  task<void> run();
  /// Reads one request head. \returns false to close the connection.
  task<bool> readHead();
  /// Validates and parses the head in the first \p Size bytes of the buffer.
  task<bool> acceptHead(std::size_t Size);
  /// Shuts down the sending side and discards what is still received. Closing
  /// at once could reset the connection before the caller read the response.
  task<void> closeGracefully(std::chrono::seconds MaxTime);
  /// Serves the request whose head was read.
  /// \returns false to close the connection.
  task<bool> serveRequest();
  task<bool> sendAddresses();
  /// Waits briefly for a confirmation of the configuration if the last one is
  /// about to expire, and longer if the request has a key and keys are stale.
  /// \returns whether keys are fresh.
  task<bool> awaitConfirmation(bool HasKey);
  /// Deducts one request from this VM's share of the account's limit; waits
  /// briefly if the VM has requested a share and not received it yet.
  /// \returns a refusal if there is no share, or if the VM stops too soon.
  task<std::optional<refusal>> awaitRate(const admitted_request &Admitted);
  /// Returns the refusal of a request above its account's rate, and puts its
  /// caller in the line of those that come back.
  refusal refuseRate(const admitted_request &Admitted,
                     const rate_refused &Refused);
  /// Whether a request may wait before it is passed on; false when the process
  /// is about to end.
  bool mayWaitHere() const;
  task<bool> forward(const admitted_request &Admitted, snapshot_ptr Snapshot);
  /// Returns what is known of the times of a request that began to be served
  /// at \p StartedAt.
  request_times timesOf(const admitted_request &Admitted,
                        instant StartedAt) const;
  /// \returns a refusal if the VM is leaving and the request would probably
  /// not end before.
  std::optional<refusal> checkShutdown(const admitted_request &Admitted) const;
  task<bool> refuse(const refusal &Refusal);
  void logRefusal(const refusal &Refusal) const;
  /// Logs and counts a request that gets no complete response.
  void recordUnanswered(unanswered_cause Cause, std::string_view Detail,
                        log_level Level) const;
  void recordUnanswered(const unanswered_request &Request) const;
  /// Id of the current request; empty if it has none.
  std::string_view requestId() const;
  /// Time since the VM began to stop; zero if it is not stopping.
  std::chrono::milliseconds stoppingFor() const;
  /// Reads and discards the rest of a small body, so that the connection can
  /// be reused.
  task<void> discardSmallBody();
  task<bool> sendText(unsigned Status, std::string ContentType,
                      std::string Body, const refusal *Refusal);

  traffic_worker &Worker;
  tcp_stream Stream;
  boost::beast::flat_buffer Buffer;
  std::optional<caller_request_parser> Parser;
  std::shared_ptr<relay_watch> Watch;
  request_progress Progress; ///< Of the current request.
  /// False if the end of the current request can no longer be found in the
  /// stream; the connection cannot be reused then.
  bool IsRequestEndKnown = true;
  /// A request was received and its response is not sent yet.
  bool IsServing = false;
  /// The VM closed the connection while no request had begun on it.
  bool EndedIdle = false;
  /// The current request was sent to a target, at least in part.
  bool HasAskedTarget = false;
};

} // namespace peridot
