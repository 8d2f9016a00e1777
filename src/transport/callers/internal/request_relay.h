/// \file
/// Relays one admitted request to a target and the response back, with bounded
/// memory.
#pragma once

#include <optional>

#include "coordination/routing/outcome_table.h"
#include "protocol/http/header_rules.h"
#include "transport/callers/internal/body_relay.h"
#include "transport/callers/internal/caller_session.h"
#include "transport/callers/internal/request_progress.h"
#include "transport/callers/internal/response_timer.h"
#include "transport/callers/internal/running_requests.h"
#include "transport/callers/internal/service_queue.h"

namespace peridot {

/// Result of relaying a request.
struct relay_result {
  /// Set if no response was sent to the caller; the session sends this refusal.
  std::optional<refusal> Refusal;
  /// Whether the caller's connection can be used for another request.
  bool KeepCallerConnection = false;
  bool IsComplete = false; ///< The complete response was sent to the caller.
  unsigned Status = 0;     ///< Status of the response sent; 0: none.
  /// The caller disconnected before the end of the response.
  bool CallerDisconnected = false;
  bool HasAskedTarget = false; ///< A target may have received the request.
  /// Set if neither a response nor a refusal ends the request.
  std::optional<unanswered_request> Unanswered;
};

/// A complete response that has not been sent to the caller.
struct buffered_response {
  boost::beast::http::response_header<> Head;
  std::string Body;
  buffer_reservation Reservation;
  held_reservation Held;
};

/// Describes a request whose caller stopped sending the body.
std::string callerStalledDetail();

/// Returns the priority of a request; that of its account counts before that of
/// its route.
unsigned priorityOf(const admitted_request &Admitted);

/// Returns how long the caller and the route's deadline let a request take.
std::chrono::milliseconds requestTimeout(const caller_request_parser &Request,
                                         const http_dialect &Dialect,
                                         const route &Route);

/// Relays one request; each request has its own instance.
class request_relay {
public:
  request_relay(traffic_worker &Worker, tcp_stream &Caller,
                boost::beast::flat_buffer &CallerBuffer,
                caller_request_parser &Request, relay_watch &Watch,
                request_progress &Progress)
      : Worker(Worker), Caller(Caller), CallerBuffer(CallerBuffer),
        Request(Request), Watch(Watch), Progress(Progress),
        ResponseTimer(Worker.loop()) {}

  /// Frees \p Slot as soon as no target is needed any more. \p Admitted points
  /// into a configuration that must outlive the relay.
  /// \param Waited part of the request's deadline that has passed.
  task<relay_result> run(const admitted_request &Admitted, service_slot Slot,
                         duration Waited);

private:
  /// Result of one attempt at one target.
  struct attempt_result {
    const target *Target = nullptr;
    bool IsComplete = false; ///< The response was buffered or sent completely.
    bool ReusedConnection = false;
    bool CallerDisconnected = false;
    /// Nothing was sent, as the target had become cold.
    bool IsWithheld = false;
    /// The target's data centre was evacuated before anything was sent.
    bool IsWithdrawn = false;
    /// The request was not sent to the target completely.
    bool IsRequestTruncated = false;
    unsigned Status = 0; ///< Status of the target's response; 0: none.
    boost::system::error_code Error;
    attempt_progress Progress = attempt_progress::NotConnected;
    /// Set if the attempt failed because of the caller's request or deadline.
    std::optional<refusal_kind> Cause;
    std::string Detail;
    std::string AttemptId; ///< Sent to the target in the request.
    target_report Report;
    instant OpenedAt{};       ///< When the connection was opened.
    instant HeadReceivedAt{}; ///< When the response head was received.
    /// Size of the response body, if the target declared it.
    std::optional<std::uint64_t> ResponseBytes;
    /// Set if the complete response was read and nothing was sent to the
    /// caller.
    std::optional<buffered_response> Buffered;
    /// Keep-alive timeout of the connection, if the target announced one.
    std::optional<std::chrono::seconds> KeepAlive;
  };
  using target_response_parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  task<relay_result> relay(const admitted_request &Admitted, duration Waited);
  const target *choose(const admitted_request &Admitted,
                       const routing_snapshot &Snapshot,
                       const retry_budget &Retries);
  /// Whether a repeatable request can be sent to another target if its next
  /// attempt fails.
  bool mayRetry(const admitted_request &Admitted,
                const retry_budget &Retries) const;
  /// Returns the best target that is not among \p Unusable; null if there is
  /// none.
  const target *chooseByCost(load_balancer &LoadBalancer,
                             std::span<const target> Targets,
                             std::vector<target_name> Unusable,
                             request_traits Traits, instant Now);
  /// Takes a token if \p Target is cold. \returns whether it may get the
  /// request.
  bool admitToTarget(const target &Target, instant Now);
  /// Returns the first cold target of \p Due that can be used; null if none.
  const target *chooseDueColdTarget(std::span<const target> Targets,
                                    std::span<const target_name> Due,
                                    std::span<const target_name> Paused,
                                    instant Now);
  /// Whether the request may still be sent to the target that was chosen, which
  /// may have become cold.
  bool maySendTo(const target &Target);
  /// Bytes that the request and its response will transfer, as far as known.
  std::size_t expectedBytes(const route &Route) const;
  const target *chooseByVerdicts(const admitted_request &Admitted,
                                 const routing_snapshot &Snapshot);
  /// Makes one attempt, logs it and records what it shows about the target.
  task<attempt_result> attemptAndObserve(const target &Target,
                                         const admitted_request &Admitted);
  /// Returns when the next attempt is given up for another one if its response
  /// has not begun; empty if no other attempt may follow.
  std::optional<std::chrono::steady_clock::time_point>
  retryTime(const admitted_request &Admitted,
            const retry_budget &Retries) const;
  /// Returns the fraction of the retry budget that is left to more urgent
  /// requests.
  double reservedRetries(const admitted_request &Admitted) const;
  /// Ends the current operation because the process is about to end. A response
  /// that has begun goes on.
  void endForShutdown();
  /// Records the result of an attempt for finishRequest(), and charges a retry
  /// to the budget where due.
  /// \returns whether to make another attempt.
  bool prepareRetry(attempt_result &Result, const admitted_request &Admitted,
                    retry_budget &Retries);
  /// Returns the time until a target leaves its pause; empty unless all targets
  /// of the service are paused.
  std::optional<duration>
  timeUntilTargetReturns(const admitted_request &Admitted) const;
  /// Describes why no target was chosen.
  std::string noTargetDetail(const admitted_request &Admitted) const;
  /// Returns the Retry-After of a request that did not run.
  std::chrono::milliseconds retryAfter(const admitted_request &Admitted) const;
  /// Sends the last buffered response, or returns a refusal if there is none.
  task<relay_result> finishRequest(const admitted_request &Admitted);
  void observe(const service &Service, const target &Target,
               const attempt_result &Result, instant StartedAt);
  void logAttempt(const admitted_request &Admitted, const target &Target,
                  const attempt_result &Result, instant StartedAt);
  static attempt_end endOf(const attempt_result &Result);

  /// Reads and buffers the start of the body, so that it can be sent again in
  /// further attempts. What the memory budget does not grant is streamed.
  /// \returns a refusal if that fails.
  task<std::optional<refusal>> bufferBody(const admitted_request &Admitted);
  /// Reads the body until the buffer is full. \returns an error of the caller.
  task<boost::system::error_code>
  fillBodyBuffer(const admitted_request &Admitted);
  /// Returns why the body was not read completely, if the request ends there.
  std::optional<refusal> bodyRefusal(const route &Route,
                                     boost::system::error_code Error) const;
  /// Makes room for the next part of the body.
  /// \returns whether the memory budget granted it.
  bool extendBodyBuffer(const admitted_request &Admitted);
  /// Whether the response is to be buffered; holds its bytes in \p Buffered.
  bool holdResponse(const admitted_request &Admitted, std::uint64_t Bytes,
                    buffered_response &Buffered);
  /// Frees what only further attempts would need.
  void endAttempts();
  task<attempt_result> attempt(const target &Target,
                               const admitted_request &Admitted);
  /// \param MaxIdleTime maximum idle time of a connection to reuse; zero: open
  ///        a new one.
  task<target_connection_ptr> connect(const target &Target,
                                      duration MaxIdleTime);
  duration maxIdleTime(const route &Route) const;
  /// Reports to the pool whether the connection works.
  void recordConnectionEvent(const target &Target,
                             const attempt_result &Result);
  /// Sends head and body, and stores the progress in \p Result.
  task<void> sendRequest(target_connection &Connection,
                         std::string_view TargetName,
                         const admitted_request &Admitted,
                         attempt_result &Result);
  /// Sends the part of the body that was not buffered.
  template <typename Serializer>
  task<void> streamBody(target_connection &Connection, Serializer &Sink,
                        boost::beast::http::buffer_body::value_type &SinkBody,
                        std::uint64_t MaxBodyBytes, attempt_result &Result);
  void recordUploadResult(const copy_result &End, attempt_result &Result);
  task<boost::system::error_code>
  relayResponse(target_connection &Connection, const admitted_request &Admitted,
                attempt_result &Result, bool &Reusable);
  /// Reads response heads until one belongs to this attempt, and discards
  /// responses to earlier requests.
  task<boost::system::error_code>
  readResponseHead(target_connection &Connection,
                   boost::beast::flat_buffer &Buffer,
                   std::optional<target_response_parser> &Response,
                   const service &Service, const attempt_result &Result);
  /// Reads a complete response into memory; fails if its body is larger than
  /// \p MaxBodyBytes.
  task<boost::system::error_code>
  bufferResponse(target_connection &Connection,
                 boost::beast::flat_buffer &Buffer,
                 target_response_parser &Response, std::uint64_t MaxBodyBytes,
                 buffered_response &Buffered);
  /// Sends a buffered response to the caller. \returns an error if that fails.
  task<boost::system::error_code> deliver(buffered_response Buffered);
  /// Describes an attempt after which the caller gets nothing more.
  static std::optional<unanswered_request>
  describeUnanswered(const attempt_result &Result);
  /// Streams a response whose head was read to the caller.
  template <typename Parser>
  task<boost::system::error_code>
  relayResponseBody(target_connection &Connection,
                    boost::beast::flat_buffer &Buffer, Parser &Response,
                    attempt_result &Result);

  bool isPastDeadline() const {
    return std::chrono::steady_clock::now() >= Deadline;
  }
  bool canKeepCallerConnection() const;
  bool isLeaving() const;
  /// Whether an attempt failed only because the target had closed the reused
  /// connection.
  bool failedOnStaleConnection(const attempt_result &Result,
                               const route &Route) const;

  traffic_worker &Worker;
  tcp_stream &Caller;
  boost::beast::flat_buffer &CallerBuffer;
  caller_request_parser &Request;
  relay_watch &Watch;
  request_progress &Progress;
  std::vector<target_name> TriedTargets;
  unsigned ConnectedAttempts = 0; ///< Number of attempts with a connection.
  unsigned FailedConnects = 0;    ///< Number of attempts without a connection.
  std::optional<buffered_response> LastBuffered;
  std::optional<refusal> LastRefusal;
  std::unique_ptr<relay_buffer> BodyBuffer;
  std::string BufferedBody;     ///< Start of the body, sent in each attempt.
  held_reservation BodyHeld;    ///< Of BufferedBody.
  held_reservation BuffersHeld; ///< Of BodyBuffer and the stream's buffer.
  std::optional<service_slot> Slot; ///< Empty once no target is needed.
  bool BodyConsumed = false; ///< Body bytes were read that are not buffered.
  bool NeedsNewConnection = false;
  /// Whether the target of the current attempt was chosen for the floor.
  bool ChosenForFloor = false;
  /// When a token was taken for the target of the current attempt; empty: the
  /// target was not cold.
  std::optional<instant> ColdTokenAt;
  bool MayHaveRun = false;     ///< A target may have run the request.
  bool HasAskedTarget = false; ///< Request bytes were sent to a target.
  /// Why the rest of the body could not be read from the caller, if so.
  boost::system::error_code BodyError;
  bool CallerGotBytes = false;
  bool EndedForShutdown = false; ///< Refused because the process ends.
  /// Connection of the current attempt, also while it is opened; null between
  /// attempts.
  tcp_stream *AttemptStream = nullptr;
  bool SentKeepAlive = false; ///< The response head announced keep-alive.
  std::chrono::steady_clock::time_point Deadline{};
  /// When the current attempt is given up for another one, if it may be.
  std::optional<std::chrono::steady_clock::time_point> RetryTime;
  /// Closes the current attempt's connection at RetryTime.
  response_timer ResponseTimer;
};

} // namespace peridot
