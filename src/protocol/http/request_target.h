/// \file
/// Paths and queries of HTTP requests. Every client builds them here, so that a
/// name reaches the server unchanged, whatever characters it has.
#pragma once

#include <string>
#include <string_view>

namespace peridot {

/// Path and query of a request (RFC 9112, origin form).
class request_target {
public:
  /// \param Path an encoded path without a query, for example `/journal`.
  explicit request_target(std::string_view Path) : Text(Path) {}

  /// Appends a segment to the path; must not follow a parameter. A slash in
  /// \p Segment is encoded like any other character.
  request_target &addSegment(std::string_view Segment);
  /// Appends a parameter to the query.
  request_target &addParameter(std::string_view Name, std::string_view Value);

  /// Returns the encoded path and query.
  const std::string &text() const { return Text; }

private:
  std::string Text;
  bool HasQuery = false;
};

/// Returns the path of an encoded request target, without its query.
std::string_view pathOf(std::string_view Target);

/// Returns the decoded value of a parameter in an encoded request target; empty
/// if there is none. A value that cannot be decoded is returned as it is.
std::string queryValue(std::string_view Target, std::string_view Name);

} // namespace peridot
