/// \file
/// Blocking HTTP client for tests.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace peridot::test {

/// Header field of a request.
struct http_field {
  std::string Name;
  std::string Value;
};

/// Request to send.
struct http_call {
  std::string Method = "GET";
  std::string Path = "/";
  std::vector<http_field> Fields;
  std::string Body;
};

/// Response as the client received it.
struct client_response {
  unsigned Status = 0;                       ///< 0: no complete response.
  std::map<std::string, std::string> Fields; ///< Names in lower case.
  std::string Body;
  std::string Error; ///< Set when Status is 0.
};

/// One keep-alive connection to 127.0.0.1.
class http_connection {
public:
  /// \param SourceAddress address that the connection comes from; empty: chosen
  /// by the system. With an address other than 127.0.0.1 the connection takes
  /// no port that a node may listen on.
  explicit http_connection(std::uint16_t Port,
                           const std::string &SourceAddress = "");
  ~http_connection();

  /// Whether the connection was established.
  bool isConnected() const;
  /// Whether the peer has closed the connection, as far as the system knows.
  bool isClosedByPeer() const;
  client_response call(const http_call &Call);
  /// Sends \p Bytes unchanged. \returns whether all were sent.
  bool send(const std::string &Bytes);
  /// Reads the response to a request sent with send().
  client_response receive();
  /// Reads until \p Text was received or the peer closes; returns all bytes.
  std::string receiveUntil(const std::string &Text);
  /// Closes the sending side; responses can still be received.
  void shutDownSending();
  /// Closes the connection with a reset instead of its regular end.
  void reset();
  /// Sends \p Bytes unchanged and returns everything received until the peer
  /// closes or the read times out.
  std::string sendRaw(const std::string &Bytes);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

/// Sends one request on a new connection.
client_response httpCall(std::uint16_t Port, const http_call &Call);

/// Polls \p Condition until it holds; throws after 60 s.
template <typename Callable>
void awaitCondition(const std::string &What, Callable &&Condition);

/// Throws an error that names the condition \p What.
void throwTimedOut(const std::string &What);
/// Sleeps before the condition is checked again.
void pauseBeforeRetry();

template <typename Callable>
void awaitCondition(const std::string &What, Callable &&Condition) {
  const auto Limit =
      std::chrono::steady_clock::now() + std::chrono::seconds(60);
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > Limit)
      throwTimedOut(What);
    pauseBeforeRetry();
  }
}

} // namespace peridot::test
