#include "protocol/http/request_framing.h"

#include <algorithm>
#include <utility>

#include <boost/beast/core/string.hpp>

namespace peridot {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view Whitespace = " \t";

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return boost::beast::iequals({Left.data(), Left.size()},
                               {Right.data(), Right.size()});
}

bool isDigit(char Character) { return Character >= '0' && Character <= '9'; }

bool isAlphanumeric(char Character) {
  return isDigit(Character) || (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z');
}

bool isHexDigit(char Character) {
  return isDigit(Character) || (Character >= 'a' && Character <= 'f') ||
         (Character >= 'A' && Character <= 'F');
}

bool isToken(std::string_view Text) {
  constexpr std::string_view SpecialCharacters = "!#$%&'*+-.^_`|~";
  return !Text.empty() && std::ranges::all_of(Text, [&](char Character) {
    return isAlphanumeric(Character) ||
           SpecialCharacters.find(Character) != SpecialCharacters.npos;
  });
}

bool isControl(char Character) {
  const auto Code = static_cast<unsigned char>(Character);
  return (Code < 0x20 && Character != '\t') || Code == 0x7F;
}

std::string_view trim(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(Whitespace);
  if (First == Text.npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Whitespace) - First + 1);
}

/// Removes the first line from \p Rest and returns it without its CRLF.
std::string_view takeLine(std::string_view &Rest) {
  const std::size_t End = Rest.find(LineEnd);
  const std::string_view Line = Rest.substr(0, End);
  Rest.remove_prefix(End + LineEnd.size());
  return Line;
}

/// Removes one path character, percent-encoded or not, from \p Rest and
/// returns it: '/' for an encoded slash or backslash, '%' for an escape that is
/// neither of these nor a dot.
char takePathCharacter(std::string_view &Rest) {
  const char First = Rest.front();
  Rest.remove_prefix(1);
  if (First != '%')
    return First;
  const std::string_view Code = Rest.substr(0, 2);
  Rest.remove_prefix(2);
  if (equalsIgnoringCase(Code, "2e"))
    return '.';
  if (equalsIgnoringCase(Code, "2f"))
    return '/';
  return equalsIgnoringCase(Code, "5c") ? '/' : '%';
}

/// Whether a segment of \p Path is "." or "..", also if its dots or slashes are
/// percent-encoded.
bool hasDotSegment(std::string_view Path) {
  std::size_t DotCount = 0;
  bool OnlyDots = true;
  const auto IsDotSegment = [&] {
    return OnlyDots && (DotCount == 1 || DotCount == 2);
  };
  while (!Path.empty()) {
    const char Next = takePathCharacter(Path);
    if (Next == '/') {
      if (IsDotSegment())
        return true;
      DotCount = 0;
      OnlyDots = true;
    } else if (Next == '.') {
      ++DotCount;
    } else {
      OnlyDots = false;
    }
  }
  return IsDotSegment();
}

bool hasInvalidEscape(std::string_view Target) {
  for (std::size_t At = Target.find('%'); At != Target.npos;
       At = Target.find('%', At + 1))
    if (At + 2 >= Target.size() || !isHexDigit(Target[At + 1]) ||
        !isHexDigit(Target[At + 2]))
      return true;
  return false;
}

std::optional<head_fault> checkTarget(std::string_view Target) {
  const auto IsForbidden = [](char Character) {
    return Character <= 0x20 || Character >= 0x7F || Character == '#' ||
           Character == '\\';
  };
  if (!Target.starts_with('/') || std::ranges::any_of(Target, IsForbidden) ||
      hasInvalidEscape(Target))
    return head_fault::BadTarget;
  if (hasDotSegment(Target.substr(0, Target.find('?'))))
    return head_fault::DotSegment;
  return std::nullopt;
}

std::optional<head_fault> checkRequestLine(std::string_view Line) {
  const std::size_t First = Line.find(' ');
  const std::size_t Last = Line.rfind(' ');
  if (First == Line.npos || First == Last || !isToken(Line.substr(0, First)))
    return head_fault::BadRequestLine;
  if (Line.substr(Last + 1) != "HTTP/1.1")
    return head_fault::UnsupportedVersion;
  return checkTarget(Line.substr(First + 1, Last - First - 1));
}

/// Checks header fields one by one, and the framing that they describe
/// together.
class header_field_checker {
public:
  std::optional<head_fault> add(std::string_view Line) {
    if (Whitespace.find(Line.front()) != Whitespace.npos)
      return head_fault::FoldedField;
    const std::size_t Colon = Line.find(':');
    if (Colon == Line.npos || !isToken(Line.substr(0, Colon)))
      return head_fault::BadField;
    return addField(Line.substr(0, Colon), trim(Line.substr(Colon + 1)));
  }

  std::optional<head_fault> finish() const {
    if (!HasHost)
      return head_fault::MissingHost;
    if (HasLength && HasTransferCoding)
      return head_fault::ConflictingLengths;
    return std::nullopt;
  }

private:
  std::optional<head_fault> addField(std::string_view Name,
                                     std::string_view Value) {
    if (equalsIgnoringCase(Name, "Host"))
      return checkSingle(HasHost, !Value.empty(), head_fault::RepeatedHost,
                         head_fault::MissingHost);
    if (equalsIgnoringCase(Name, "Content-Length"))
      return checkSingle(HasLength, isValidLength(Value),
                         head_fault::RepeatedContentLength,
                         head_fault::BadContentLength);
    if (equalsIgnoringCase(Name, "Transfer-Encoding"))
      return checkSingle(
          HasTransferCoding, equalsIgnoringCase(Value, "chunked"),
          head_fault::BadTransferEncoding, head_fault::BadTransferEncoding);
    if (equalsIgnoringCase(Name, "Expect") &&
        !equalsIgnoringCase(Value, "100-continue"))
      return head_fault::BadExpectation;
    return std::nullopt;
  }

  static std::optional<head_fault>
  checkSingle(bool &Seen, bool Valid, head_fault Repeated, head_fault Invalid) {
    if (std::exchange(Seen, true))
      return Repeated;
    return Valid ? std::nullopt : std::optional(Invalid);
  }

  static bool isValidLength(std::string_view Value) {
    constexpr std::size_t MaxDigits = 18; // fits into 64 bits
    return !Value.empty() && Value.size() <= MaxDigits &&
           std::ranges::all_of(Value, isDigit);
  }

  bool HasHost = false;
  bool HasLength = false;
  bool HasTransferCoding = false;
};

} // namespace

std::string_view detailOf(head_fault Fault) {
  switch (Fault) {
  case head_fault::BareLineBreak:
    return "a CR or LF is not part of a CRLF line ending";
  case head_fault::ControlCharacter:
    return "the head contains a control character";
  case head_fault::BadRequestLine:
    return "the request line does not have the form METHOD TARGET VERSION";
  case head_fault::UnsupportedVersion:
    return "the HTTP version is not HTTP/1.1";
  case head_fault::BadTarget:
    return "the target is not a valid absolute path with an optional query";
  case head_fault::DotSegment:
    return "the path contains a '.' or '..' segment";
  case head_fault::FoldedField:
    return "a header field is folded over several lines";
  case head_fault::BadField:
    return "a header line does not have the form NAME: VALUE";
  case head_fault::MissingHost:
    return "the Host field is missing or empty";
  case head_fault::RepeatedHost:
    return "the Host field occurs more than once";
  case head_fault::BadContentLength:
    return "Content-Length is not a decimal number of at most 18 digits";
  case head_fault::RepeatedContentLength:
    return "Content-Length occurs more than once";
  case head_fault::BadTransferEncoding:
    return "Transfer-Encoding is not a single 'chunked'";
  case head_fault::ConflictingLengths:
    return "both Content-Length and Transfer-Encoding are present";
  case head_fault::BadExpectation:
    return "Expect is not 100-continue";
  }
  return "the head is malformed";
}

std::optional<std::size_t> findHeadEnd(std::string_view Received) {
  const std::size_t At = Received.find(HeadEnd);
  if (At == Received.npos)
    return std::nullopt;
  return At + HeadEnd.size();
}

bool hasBareLineBreak(std::string_view Text) {
  for (std::size_t At = Text.find_first_of(LineEnd); At != Text.npos;
       At = Text.find_first_of(LineEnd, At)) {
    if (At + 1 == Text.size())
      return Text[At] == '\n';
    if (Text.substr(At, LineEnd.size()) != LineEnd)
      return true;
    At += LineEnd.size();
  }
  return false;
}

std::optional<head_fault> checkHead(std::string_view Head) {
  if (hasBareLineBreak(Head))
    return head_fault::BareLineBreak;
  std::string_view Rest = Head;
  header_field_checker Fields;
  bool First = true;
  for (std::string_view Line = takeLine(Rest); First || !Line.empty();
       Line = takeLine(Rest)) {
    if (std::ranges::any_of(Line, isControl))
      return head_fault::ControlCharacter;
    if (const auto Fault = First ? checkRequestLine(Line) : Fields.add(Line))
      return Fault;
    First = false;
  }
  return Fields.finish();
}

} // namespace peridot
