/// \file
/// Copies message bodies with bounded memory.
#pragma once

#include <array>
#include <limits>
#include <utility>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include "transport/callers/internal/relay_watch.h"

namespace peridot {

/// Bytes of a body that are in flight between caller and target.
constexpr std::size_t RelayBufferBytes = 32U << 10U;

using relay_buffer = std::array<char, RelayBufferBytes>;

/// Which part of a copy failed.
enum class relay_part { None, Source, Sink, Limit, Watch };

/// How a copy ended.
struct relay_end {
  relay_part Failed = relay_part::None;
  boost::system::error_code Error;

  bool isComplete() const { return Failed == relay_part::None; }
};

/// One direction of a relay. All references outlive the copy.
template <typename Parser, typename Serializer> struct body_copy {
  tcp_stream &From;
  boost::beast::flat_buffer &Buffer;
  Parser &Source;
  Serializer &Sink;
  boost::beast::http::buffer_body::value_type &SinkBody;
  tcp_stream &To;
  relay_buffer &Space;
  relay_watch &Watch;
  /// Bytes of the body that may still pass.
  std::uint64_t Allowance = std::numeric_limits<std::uint64_t>::max();
};

/// Parses what was received. \returns an error of the message's framing.
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

/// Reads the next bytes of a body into \p Space, from \p Offset on. Returns
/// what came without waiting for more.
/// \returns how many; 0 without an error: the end.
template <typename Parser>
task<std::pair<boost::system::error_code, std::size_t>>
readBodyPart(tcp_stream &From, boost::beast::flat_buffer &Buffer,
             Parser &Source, relay_buffer &Space, std::size_t Offset) {
  Source.eager(true);
  Source.get().body().data = Space.data() + Offset;
  Source.get().body().size = Space.size() - Offset;
  const auto ReadBytes = [&] {
    return Space.size() - Offset - Source.get().body().size;
  };
  boost::system::error_code Error;
  if (Buffer.size() > 0)
    Error = parseReceived(Buffer, Source);
  while (!Error && ReadBytes() == 0 && !Source.is_done()) {
    auto [ReadError, Count] = co_await From.async_read_some(
        Buffer.prepare(RelayBufferBytes), UseTaskTuple);
    Buffer.commit(Count);
    Error = ReadError;
    if (ReadError == boost::asio::error::eof)
      Source.put_eof(Error);
    else if (!ReadError)
      Error = parseReceived(Buffer, Source);
  }
  co_return std::pair(Error, ReadBytes());
}

/// Copies what is left of a body; ends when the watch cancels it.
template <typename Parser, typename Serializer>
task<relay_end> relayBody(body_copy<Parser, Serializer> Copy) {
  namespace http = boost::beast::http;
  boost::system::error_code SourceError;
  do {
    std::size_t Size = 0;
    if (!Copy.Source.is_done()) {
      auto [Error, Read] = co_await readBodyPart(Copy.From, Copy.Buffer,
                                                 Copy.Source, Copy.Space, 0);
      if (Copy.Watch.cancelled())
        co_return relay_end{relay_part::Watch, Error};
      SourceError = Error;
      Size = Read;
    }
    if (Size > Copy.Allowance)
      co_return relay_end{.Failed = relay_part::Limit};
    Copy.Allowance -= Size;
    if (Size == 0 && SourceError)
      co_return relay_end{relay_part::Source, SourceError};
    if (Size == 0 && !Copy.Source.is_done())
      continue;
    Copy.SinkBody.data = Size > 0 ? Copy.Space.data() : nullptr;
    Copy.SinkBody.size = Size;
    Copy.SinkBody.more = SourceError || !Copy.Source.is_done();
    auto [Error, Written] =
        co_await http::async_write(Copy.To, Copy.Sink, UseTaskTuple);
    if (Error && Error != http::error::need_buffer)
      co_return relay_end{
          Copy.Watch.cancelled() ? relay_part::Watch : relay_part::Sink, Error};
  } while (!Copy.Source.is_done() || !Copy.Sink.is_done());
  co_return relay_end{};
}

} // namespace peridot
