// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

// Reads the heads of HTTP messages by the grammar of RFC 9112, sections 2 to 5.
// POCO's own parser is not used: it also ends a line at a lone CR or LF, joins
// folded lines, skips lines without a colon and decodes the words of RFC 2047,
// so it may find another head, and another end of the body, than other readers
// of the same bytes do.

namespace waycove {

/// A field of a head or of a trailer, without the blanks around its value.
struct FieldLine {
  std::string_view Name;
  std::string_view Value;
};

/// Whether \p Text has no control bytes but tabs (RFC 9110, 5.5).
bool isFieldText(std::string_view Text);

/// Whether \p Bytes, which have no line end, may be the front of a line of
/// field text, or of its end. If not, no further byte makes them one.
bool mayBecomeLine(std::string_view Bytes);

/// Parses a line without its line end. Returns nothing unless it is a token, a
/// colon right after it and a value that is field text (RFC 9112, 5).
std::optional<FieldLine> parseFieldLine(std::string_view Line);

/// Length of the message head at the front of \p Buffer, including its empty
/// line, or nothing if the head is not complete yet.
std::optional<std::size_t> headLength(std::string_view Buffer);

/// Whether \p Buffer, which has no complete head, may be the front of one. If
/// not, no further byte makes it one.
bool mayBecomeHead(std::string_view Buffer);

/// Parses a whole head, including its empty line. Returns nothing if it departs
/// from the grammar, has too many fields, is of another version than HTTP/1, or
/// has a status or form of target that this project does not handle.
std::optional<Poco::Net::HTTPRequest> parseRequestHead(std::string_view Bytes);
std::optional<Poco::Net::HTTPResponse>
parseResponseHead(std::string_view Bytes);

/// Takes the head of a final response from received bytes, past the interim
/// responses (1xx) ahead of it. All of them together are bounded.
class ResponseHeadReader {
public:
  enum class Result {
    /// More bytes are needed.
    Incomplete,
    Complete,
    /// The bytes are no head, or more than heads may have.
    Invalid,
  };
  /// Limit on the bytes of a response's head and of the interim responses ahead
  /// of it.
  static constexpr std::size_t MaxBytes = 64 << 10;

  /// Removes heads from the front of \p Buffer, up to a final one. If the
  /// result is Complete, that one is in \p Head.
  Result take(std::string &Buffer,
              std::optional<Poco::Net::HTTPResponse> &Head);

private:
  std::size_t TakenBytes = 0;
};

} // namespace waycove
