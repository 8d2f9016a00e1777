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

/// Header fields of a request.
struct http_field {
  std::string Name;
  std::string Value;
};

struct http_call {
  std::string Method = "GET";
  std::string Path = "/";
  std::vector<http_field> Fields;
  std::string Body;
};

struct http_answer {
  unsigned Status = 0;                       ///< 0: no whole answer came.
  std::map<std::string, std::string> Fields; ///< Names in lower case.
  std::string Body;
  std::string Error; ///< Set when Status is 0.
};

/// One keep-alive connection to 127.0.0.1.
class http_connection {
public:
  explicit http_connection(std::uint16_t Port);
  ~http_connection();

  http_answer call(const http_call &Call);
  /// Sends bytes as they are.
  void send(const std::string &Bytes);
  /// Reads the answer to a request that was sent.
  http_answer receive();
  /// Sends bytes as they are and returns all that comes until the other side
  /// closes or a limit passes.
  std::string sendRaw(const std::string &Bytes);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

/// One call on a connection of its own.
http_answer httpCall(std::uint16_t Port, const http_call &Call);

/// Repeats \p Condition until it holds; throws after a generous limit.
template <typename Callable>
void awaitCondition(const std::string &What, Callable &&Condition);

void throwNotReached(const std::string &What);
void pauseBetweenTries();

template <typename Callable>
void awaitCondition(const std::string &What, Callable &&Condition) {
  const auto Limit =
      std::chrono::steady_clock::now() + std::chrono::seconds(60);
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > Limit)
      throwNotReached(What);
    pauseBetweenTries();
  }
}

} // namespace peridot::test
