// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace waycove {

/// How the end of an HTTP message's body is determined.
enum class Framing {
  None,
  Length,
  Chunked,
  /// The body ends with the connection.
  UntilClose,
};

/// Decodes a message's body incrementally from a stream of bytes. POCO's
/// streams are not used because they block and cannot tell a truncated body
/// from a complete one. Bounds the bytes of chunks that are no payload: their
/// size lines and extensions, and the trailer.
class BodyDecoder {
public:
  BodyDecoder(Framing Kind, std::uint64_t Length)
      : Kind(Kind), Remaining(Kind == Framing::Length ? Length : 0) {}

  /// Removes the body's bytes from the front of \p Input and appends the
  /// payload to \p Payload. Bytes after the body stay.
  void feed(std::string &Input, std::string &Payload);
  /// To be called when the connection was closed regularly.
  void close();
  bool isDone() const;
  /// Whether the bytes violate the framing.
  bool isMalformed() const { return this->Malformed; }
  Framing kind() const { return this->Kind; }
  /// Bytes of payload that are announced and have not been fed.
  std::uint64_t remaining() const { return this->Remaining; }

private:
  /// Reads the next part of a chunked body: a size, data or a trailer line.
  /// Returns false if more bytes are needed or the body is malformed.
  bool readChunkPart(std::string &Input, std::string &Payload);
  std::optional<std::string> takeLine(std::string &Input);
  /// The framing that a body with the payload so far may have.
  std::uint64_t maxFramingBytes() const;

  enum class ChunkState { Size, Data, DataEnd, Trailer, Done };
  Framing Kind;
  std::uint64_t Remaining;
  std::uint64_t PayloadBytes = 0;
  std::uint64_t FramingBytes = 0;
  ChunkState State = ChunkState::Size;
  bool ConnectionClosed = false;
  bool Malformed = false;
};

/// Returns a decoder for the body of a request or of a response to a request
/// with \p Method, or nothing if the framing is ambiguous or unsupported.
std::optional<BodyDecoder> requestBody(const Poco::Net::HTTPRequest &Head);
std::optional<BodyDecoder> responseBody(const Poco::Net::HTTPResponse &Head,
                                        const std::string &Method);

/// Copies the end-to-end fields, that is, all but Content-Length and those that
/// concern one connection only.
void copyEndToEnd(const Poco::Net::MessageHeader &From,
                  Poco::Net::MessageHeader &Out);

/// One event of an event stream.
struct StreamEvent {
  /// All its bytes, including the empty line at the end.
  std::string Bytes;
  std::optional<std::uint64_t> Id;
};

/// Removes the next whole event from \p Buffer, if there is one.
std::optional<StreamEvent> takeEvent(std::string &Buffer);

} // namespace waycove
