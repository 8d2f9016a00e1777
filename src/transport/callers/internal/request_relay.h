/// \file
/// Relays one admitted request to a target and the answer back, with bounded
/// memory.
#pragma once

#include <optional>

#include "coordination/routing/outcome_table.h"
#include "protocol/http/header_rules.h"
#include "transport/callers/internal/body_relay.h"
#include "transport/callers/internal/caller_session.h"

namespace peridot {

/// How the relay ended.
struct relay_result {
  /// Set when no byte of an answer went to the caller yet.
  std::optional<refusal> Refusal;
  /// True when the whole request was read, so that the caller's connection can
  /// carry another.
  bool KeepCaller = false;
  bool Whole = false;      ///< The whole answer was passed on.
  unsigned Status = 0;     ///< Of the answer passed on; 0: none.
  bool CallerLeft = false; ///< The caller went away first.
};

/// A whole answer that is not passed on yet.
struct held_answer {
  boost::beast::http::response_header<> Head;
  std::string Body;
};

/// Serves one request; made anew for each.
class request_relay {
public:
  request_relay(traffic_worker &Worker, tcp_stream &Caller,
                boost::beast::flat_buffer &CallerBuffer,
                caller_request_parser &Request, relay_watch &Watch)
      : Worker(Worker), Caller(Caller), CallerBuffer(CallerBuffer),
        Request(Request), Watch(Watch) {}

  /// \p Admitted points into a configuration that the caller keeps.
  task<relay_result> run(const admitted_request &Admitted);

private:
  /// What one attempt at one target came to.
  struct attempt_result {
    bool Whole = false; ///< The whole answer was passed on.
    bool ReusedConnection = false;
    bool CallerLeft = false;
    bool RequestCut = false; ///< The target did not get the whole request.
    unsigned Status = 0;     ///< Of the target's answer; 0: none came.
    boost::system::error_code Error;
    attempt_progress Progress = attempt_progress::NotConnected;
    /// Set when the attempt ended for a reason of the caller or of time.
    std::optional<refusal_kind> Cause;
    std::string Detail;
    std::string AttemptId; ///< Sent to the target.
    target_report Report;
    instant OpenedAt{}; ///< When the connection was opened.
    instant HeadAt{};   ///< When the answer's head came.
    /// Set when the whole answer was read and nothing was passed on.
    std::optional<held_answer> Held;
    /// Time for which the target keeps the connection, if it said so.
    std::optional<std::chrono::seconds> KeepAlive;
  };
  using answer_parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  std::chrono::milliseconds timeAllowed(const route &Route) const;
  const target *choose(const admitted_request &Admitted,
                       const routing_snapshot &Snapshot);
  const target *chooseByVerdicts(const admitted_request &Admitted,
                                 const routing_snapshot &Snapshot);
  /// One attempt with what the VM learns from it.
  task<attempt_result> attemptAndObserve(const target &Target,
                                         const admitted_request &Admitted);
  /// Until when the head of the next attempt's answer is waited for.
  std::chrono::steady_clock::time_point
  answerLimit(const route &Route, const retry_budget &Retries) const;
  /// Keeps what a failed attempt came to. \returns true if another attempt
  /// follows, which is charged to the budget.
  bool tryAgain(attempt_result &Result, const admitted_request &Admitted,
                retry_budget &Retries);
  /// Answers with the best that the attempts came to.
  task<relay_result> conclude(const admitted_request &Admitted);
  void observe(const service &Service, const target &Target,
               const attempt_result &Result, instant StartedAt);
  void logAttempt(const admitted_request &Admitted, const target &Target,
                  const attempt_result &Result, instant StartedAt);
  static attempt_end endOf(const attempt_result &Result);

  /// Reads the start of the body, which is kept for further attempts; a
  /// refusal when that fails.
  task<std::optional<refusal>> gatherBody(const route &Route);
  task<attempt_result> attempt(const target &Target,
                               const admitted_request &Admitted);
  /// \param ReuseLimit longest idle time of a connection that may be used.
  task<target_connection_ptr> connect(const target &Target,
                                      duration ReuseLimit);
  duration reuseLimit(const route &Route) const;
  /// Tells the pool whether the connection works.
  void noteConnection(const target &Target, const attempt_result &Result);
  /// Sends head and body; the result tells how far it got.
  task<void> sendRequest(target_connection &Connection,
                         std::string_view TargetName,
                         const admitted_request &Admitted,
                         attempt_result &Result);
  /// Sends the part of the body that was not gathered.
  template <typename Serializer>
  task<void> streamBody(target_connection &Connection, Serializer &Sink,
                        boost::beast::http::buffer_body::value_type &SinkBody,
                        std::uint64_t MaxBodyBytes, attempt_result &Result);
  void noteUploadEnd(const relay_end &End, attempt_result &Result);
  task<boost::system::error_code> passAnswer(target_connection &Connection,
                                             const service &Service,
                                             attempt_result &Result,
                                             bool &Reusable);
  /// Reads heads until one answers this attempt.
  task<boost::system::error_code>
  readAnswerHead(target_connection &Connection,
                 boost::beast::flat_buffer &Buffer,
                 std::optional<answer_parser> &Answer, const service &Service,
                 const attempt_result &Result);
  /// Reads a whole answer; of one that is not for this attempt, to drop it.
  task<boost::system::error_code> holdAnswer(target_connection &Connection,
                                             boost::beast::flat_buffer &Buffer,
                                             answer_parser &Answer,
                                             held_answer &Held);
  /// Passes a held answer on; false when the caller does not take it.
  task<bool> deliver(held_answer Held);
  /// Passes on an answer whose head was read.
  template <typename Parser>
  task<boost::system::error_code>
  passBody(target_connection &Connection, boost::beast::flat_buffer &Buffer,
           Parser &Answer, attempt_result &Result);

  bool isLate() const { return std::chrono::steady_clock::now() >= Deadline; }
  bool mayKeepCaller() const;
  bool isLeaving() const;
  /// True if an attempt failed only because its reused connection had died.
  bool diedBeforeUse(const attempt_result &Result, const route &Route) const;

  traffic_worker &Worker;
  tcp_stream &Caller;
  boost::beast::flat_buffer &CallerBuffer;
  caller_request_parser &Request;
  relay_watch &Watch;
  std::vector<target_name> Tried;
  unsigned Sent = 0;        ///< Attempts that reached a target.
  unsigned Unconnected = 0; ///< Attempts that got no connection.
  std::optional<held_answer> LastHeld;
  std::optional<refusal> LastRefusal;
  std::unique_ptr<relay_buffer> Space;
  std::string GatheredBody;  ///< Start of the body, kept for all attempts.
  bool BodyConsumed = false; ///< More was read than the gathered part.
  bool NeedsFresh = false;
  bool ChosenForFloor = false; ///< The target of the attempt that runs.
  bool MayHaveRun = false;     ///< At the target of some attempt.
  bool CallerLeft = false;
  bool CallerGotBytes = false;
  bool CallerKept = false; ///< The answer's head lets the caller go on.
  std::chrono::steady_clock::time_point Deadline{};
  /// Of the attempt that runs, until the head of its answer is there.
  std::chrono::steady_clock::time_point AnswerLimit{};
};

} // namespace peridot
