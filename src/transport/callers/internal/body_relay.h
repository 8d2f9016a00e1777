/// \file
/// Copies message bodies with bounded memory.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include "transport/callers/internal/connection_state.h"
#include "transport/callers/internal/relay_watch.h"
#include "transport/callers/internal/request_progress.h"

namespace peridot {

/// Maximum number of body bytes in transit between caller and target.
constexpr std::size_t RelayBufferBytes = 32U << 10U;

/// Memory of the two buffers that copying a body needs.
constexpr std::size_t StreamBufferBytes = 2 * RelayBufferBytes;

/// Maximum number of bytes received without a complete chunk header or trailer.
constexpr std::size_t MaxFramingBytes = 32U << 10U;

using relay_buffer = std::array<char, RelayBufferBytes>;

/// How long a peer may take to receive a message.
struct delivery_limit {
  std::chrono::steady_clock::time_point End;

  /// Returns when a write that begins now must have passed on some bytes.
  std::chrono::steady_clock::time_point ofWrite() const {
    return std::min(End, std::chrono::steady_clock::now() + MaxCallerIdleTime);
  }
};

/// Writes what \p Sink has. Without a limit, that of the stream applies.
template <typename Serializer>
task<boost::system::error_code>
writeAvailable(tcp_stream &To, Serializer &Sink,
               std::optional<delivery_limit> Limit) {
  boost::system::error_code Error;
  while (!Error && !Sink.is_done()) {
    if (Limit)
      To.expires_at(Limit->ofWrite());
    std::tie(Error, std::ignore) =
        co_await boost::beast::http::async_write_some(To, Sink, UseTaskTuple);
  }
  co_return Error;
}

/// Why copying a body failed.
enum class copy_failure { None, Source, Sink, Limit, Watch };

/// Result of copying a body.
struct copy_result {
  copy_failure Failure = copy_failure::None;
  boost::system::error_code Error;

  bool isComplete() const { return Failure == copy_failure::None; }
};

/// Source and destination of a body. The referenced objects must outlive the
/// copy.
template <typename Parser, typename Serializer> struct body_copy {
  tcp_stream &From;
  boost::beast::flat_buffer &Buffer;
  Parser &Source;
  Serializer &Sink;
  boost::beast::http::buffer_body::value_type &SinkBody;
  tcp_stream &To;
  relay_buffer &BodyBuffer;
  relay_watch &Watch;
  /// Maximum number of bytes that may still be copied.
  std::uint64_t AllowedBytes = std::numeric_limits<std::uint64_t>::max();
  /// Enters the step Response before the first write, if set.
  request_progress *Response = nullptr;
  /// Of the destination, if it is the caller.
  std::optional<delivery_limit> Delivery;
};

/// Parses the received bytes.
/// \returns an error if the framing of the message is invalid.
template <typename Parser>
boost::system::error_code parseReceived(boost::beast::flat_buffer &Buffer,
                                        Parser &Source) {
  namespace http = boost::beast::http;
  boost::system::error_code Error;
  Buffer.consume(Source.put(Buffer.cdata(), Error));
  if (Error == http::error::need_more || Error == http::error::need_buffer)
    Error = {};
  return Error;
}

/// Reads the next bytes of a body into \p BodyBuffer, starting at \p Offset.
/// Does not wait until the buffer is full. Fails if the framing of the body
/// takes more than MaxFramingBytes, as it would be collected in memory.
/// \returns the number of bytes read; 0 without an error: end of the body.
template <typename Parser>
task<std::pair<boost::system::error_code, std::size_t>>
readBodyPart(tcp_stream &From, boost::beast::flat_buffer &Buffer,
             Parser &Source, relay_buffer &BodyBuffer, std::size_t Offset) {
  Source.eager(true);
  Source.get().body().data = BodyBuffer.data() + Offset;
  Source.get().body().size = BodyBuffer.size() - Offset;
  const auto ReadBytes = [&] {
    return BodyBuffer.size() - Offset - Source.get().body().size;
  };
  namespace http = boost::beast::http;
  boost::system::error_code Error;
  if (Buffer.size() > 0)
    Error = parseReceived(Buffer, Source);
  while (!Error && ReadBytes() == 0 && !Source.is_done()) {
    auto [ReadError, Count] = co_await From.async_read_some(
        Buffer.prepare(RelayBufferBytes), UseTaskTuple);
    Buffer.commit(Count);
    Error = ReadError;
    // After a write has reported a reset, reads report a regular end. A body
    // that ends with the connection would look complete.
    if (ReadError == boost::asio::error::eof && isReset(From))
      Error = boost::asio::error::connection_reset;
    else if (ReadError == boost::asio::error::eof)
      Source.put_eof(Error);
    else if (!ReadError)
      Error = parseReceived(Buffer, Source);
    if (!Error && ReadBytes() == 0 && Buffer.size() > MaxFramingBytes)
      Error = http::error::buffer_overflow;
  }
  co_return std::pair(Error, ReadBytes());
}

/// Copies the rest of a body; stops when the watch cancels the operations.
template <typename Parser, typename Serializer>
task<copy_result> relayBody(body_copy<Parser, Serializer> Copy) {
  namespace http = boost::beast::http;
  boost::system::error_code SourceError;
  do {
    std::size_t Size = 0;
    if (!Copy.Source.is_done()) {
      if (!Copy.Delivery)
        Copy.Watch.awaitCaller();
      auto [Error, Read] = co_await readBodyPart(
          Copy.From, Copy.Buffer, Copy.Source, Copy.BodyBuffer, 0);
      Copy.Watch.endAwaitCaller();
      if (Copy.Watch.isCancelled())
        co_return copy_result{copy_failure::Watch, Error};
      SourceError = Error;
      Size = Read;
    }
    if (Size > Copy.AllowedBytes)
      co_return copy_result{.Failure = copy_failure::Limit};
    Copy.AllowedBytes -= Size;
    if (Size == 0 && SourceError)
      co_return copy_result{copy_failure::Source, SourceError};
    if (Size == 0 && !Copy.Source.is_done())
      continue;
    Copy.SinkBody.data = Size > 0 ? Copy.BodyBuffer.data() : nullptr;
    Copy.SinkBody.size = Size;
    Copy.SinkBody.more = SourceError || !Copy.Source.is_done();
    if (Copy.Response && Copy.Response->step() != request_step::Response)
      Copy.Response->enter(request_step::Response);
    const auto Error =
        co_await writeAvailable(Copy.To, Copy.Sink, Copy.Delivery);
    if (Error && Error != http::error::need_buffer)
      co_return copy_result{Copy.Watch.isCancelled() ? copy_failure::Watch
                                                     : copy_failure::Sink,
                            Error};
  } while (!Copy.Source.is_done() || !Copy.Sink.is_done());
  co_return copy_result{};
}

} // namespace peridot
