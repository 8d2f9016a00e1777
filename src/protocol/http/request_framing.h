/// \file
/// Strict check of a request's head before it reaches a parser or a target.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace peridot {

/// Defect of a request head. Each one can make two HTTP implementations
/// disagree about where a request ends or which resource it names.
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

/// Returns a description of the defect for the caller.
std::string_view detailOf(head_fault Fault);

/// Returns the size of the head at the start of \p Received, including the
/// empty line that ends it; nullopt if the head is incomplete.
std::optional<std::size_t> findHeadEnd(std::string_view Received);

/// Whether \p Text has a CR or LF that is not part of a CRLF. A CR at the end
/// of \p Text is accepted, because its LF may not have been received yet.
bool hasBareLineBreak(std::string_view Text);

/// Checks a complete head, from the request line to the empty line, and
/// returns the first defect.
std::optional<head_fault> checkHead(std::string_view Head);

} // namespace peridot
