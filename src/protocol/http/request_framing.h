/// \file
/// Strict check of a request's head, before any parser or target sees it.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace peridot {

/// What is wrong with a head. Each makes two HTTP implementations disagree
/// about where a request ends or which resource it names.
enum class head_fault {
  BareLineBreak,
  ControlCharacter,
  BadRequestLine,
  UnsupportedVersion,
  BadTarget,
  DotSegment,
  FoldedField,
  BadField,
  MissingHost,
  RepeatedHost,
  BadContentLength,
  RepeatedContentLength,
  BadTransferEncoding,
  ConflictingLengths,
  BadExpectation,
};

/// Text for the caller.
std::string_view detailOf(head_fault Fault);

/// Size of the head at the start of \p Received, with the empty line that ends
/// it; nullopt when it is not complete.
std::optional<std::size_t> findHeadEnd(std::string_view Received);

/// True if \p Text has a CR or LF that is not part of a CRLF. A CR at the very
/// end may still become one.
bool hasBareLineBreak(std::string_view Text);

/// Judges a complete head, from the request line to the empty line.
std::optional<head_fault> checkHead(std::string_view Head);

} // namespace peridot
