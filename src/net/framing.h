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

/// How the end of an HTTP message's body is told.
enum class Framing {
  None,
  Length,
  Chunked,
  /// It ends with the connection.
  UntilClose,
};

/// Takes a message's body off a stream of bytes as they come. POCO's streams
/// cannot be used here: they block, and do not tell a cut body from a whole
/// one.
class BodyDecoder {
public:
  BodyDecoder(Framing Kind, std::uint64_t Length)
      : Kind(Kind), Left(Kind == Framing::Length ? Length : 0) {}

  /// Takes what belongs to the body from the front of \p Input and appends
  /// the payload to \p Into. Bytes after the body stay.
  void feed(std::string &Input, std::string &Into);
  /// The connection closed in good order.
  void close();
  bool isDone() const;
  /// The bytes are no body in this framing.
  bool isMalformed() const { return this->Bad; }
  Framing kind() const { return this->Kind; }

private:
  /// Reads chunks, their sizes and trailers; false where more is needed.
  bool readChunkPart(std::string &Input, std::string &Into);
  std::optional<std::string> takeLine(std::string &Input);

  enum class ChunkState { Size, Data, DataEnd, Trailer, Done };
  Framing Kind;
  std::uint64_t Left;
  ChunkState Chunk = ChunkState::Size;
  bool ConnectionClosed = false;
  bool Bad = false;
};

/// Length of the message head at the front of \p Buffer, with its empty line;
/// nothing where it is not whole yet.
std::optional<std::size_t> headLength(std::string_view Buffer);

/// Takes a request's head from \p Bytes. Nothing where it is malformed, names
/// its body's end in two ways or in one that is not known, or has field names
/// that other readers might take differently.
std::optional<Poco::Net::HTTPRequest> parseRequestHead(std::string_view Bytes);
std::optional<Poco::Net::HTTPResponse>
parseResponseHead(std::string_view Bytes);

/// Body framing of a request or, with \p Bodyless telling of HEAD and of
/// statuses without body, a response. Nothing where it is ambiguous.
std::optional<BodyDecoder> requestBody(const Poco::Net::HTTPRequest &Head);
std::optional<BodyDecoder> responseBody(const Poco::Net::HTTPResponse &Head,
                                        const std::string &Method);

/// Copies header fields, except those that concern one connection only.
void copyEndToEnd(const Poco::Net::MessageHeader &From,
                  Poco::Net::MessageHeader &Into);

/// One event of an event stream.
struct StreamEvent {
  /// All its bytes, with the empty line at its end.
  std::string Bytes;
  std::optional<std::uint64_t> Id;
};

/// Takes the next whole event off \p Buffer; nothing where there is none yet.
std::optional<StreamEvent> takeEvent(std::string &Buffer);

} // namespace waycove
