// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "net/framing.h"

#include "net/head.h"

#include <Poco/String.h>
#include <Poco/StringTokenizer.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

namespace waycove {

namespace {

constexpr std::size_t MaxChunkLine = 1024;
constexpr std::uint64_t MaxChunkBytes = 1ULL << 40;
/// Framing that a chunked body may have, whatever its payload, and for each
/// byte of payload. A chunk of one byte has five bytes of framing or more.
constexpr std::uint64_t MaxBaseFramingBytes = 64 << 10;
constexpr std::uint64_t MaxFramingPerByte = 8;
constexpr int MinFinalStatus = 200;
constexpr std::string_view CrLfEventEnd = "\r\n\r\n";

/// Fields that concern one connection only (RFC 9110, 7.6.1).
constexpr std::array<std::string_view, 8> HopByHop{
    "connection", "keep-alive", "proxy-connection",  "proxy-authenticate",
    "te",         "trailer",    "transfer-encoding", "upgrade"};

template <typename T>
std::optional<T> parseNumber(std::string_view Text, int Base = 10) {
  T Value = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value, Base);
  if (Text.empty() || Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

/// The framing that the fields declare, or \p Default if they declare none.
std::optional<BodyDecoder> declaredBody(const Poco::Net::HTTPMessage &Head,
                                        Framing Default) {
  std::vector<std::string> Lengths;
  std::vector<std::string> Encodings;
  for (const auto &[Name, Value] : Head) {
    if (Poco::icompare(Name, Poco::Net::HTTPMessage::CONTENT_LENGTH) == 0)
      Lengths.push_back(Value);
    if (Poco::icompare(Name, Poco::Net::HTTPMessage::TRANSFER_ENCODING) == 0)
      Encodings.push_back(Value);
  }
  if (Lengths.size() + Encodings.size() > 1)
    return std::nullopt;
  if (!Encodings.empty()) {
    if (Poco::icompare(Encodings[0], std::string("chunked")) != 0)
      return std::nullopt;
    return BodyDecoder(Framing::Chunked, 0);
  }
  if (Lengths.empty())
    return BodyDecoder(Default, 0);
  auto Length = parseNumber<std::uint64_t>(Lengths[0]);
  if (!Length)
    return std::nullopt;
  return BodyDecoder(*Length ? Framing::Length : Framing::None, *Length);
}

} // namespace

void BodyDecoder::feed(std::string &Input, std::string &Payload) {
  switch (this->Kind) {
  case Framing::None:
    return;
  case Framing::Length: {
    auto Take = static_cast<std::size_t>(
        std::min<std::uint64_t>(this->Remaining, Input.size()));
    Payload.append(Input, 0, Take);
    Input.erase(0, Take);
    this->Remaining -= Take;
    return;
  }
  case Framing::UntilClose:
    Payload.append(Input);
    Input.clear();
    return;
  case Framing::Chunked:
    while (!this->Malformed && this->State != ChunkState::Done &&
           this->readChunkPart(Input, Payload))
      ;
  }
}

void BodyDecoder::close() { this->ConnectionClosed = true; }

bool BodyDecoder::isDone() const {
  switch (this->Kind) {
  case Framing::None:
    return true;
  case Framing::Length:
    return this->Remaining == 0;
  case Framing::Chunked:
    return this->State == ChunkState::Done;
  case Framing::UntilClose:
    break;
  }
  return this->ConnectionClosed;
}

std::optional<std::string> BodyDecoder::takeLine(std::string &Input) {
  std::size_t End = Input.find("\r\n");
  bool IsWhole = End != std::string::npos;
  // The last byte of an incomplete line may be the first of its end.
  this->Malformed =
      IsWhole ? End > MaxChunkLine
              : Input.size() > MaxChunkLine + 1 || !mayBecomeLine(Input);
  if (!IsWhole || this->Malformed)
    return std::nullopt;
  std::string Line = Input.substr(0, End);
  Input.erase(0, End + 2);
  this->FramingBytes += End + 2;
  this->Malformed = this->FramingBytes > this->maxFramingBytes();
  if (this->Malformed)
    return std::nullopt;
  return Line;
}

std::uint64_t BodyDecoder::maxFramingBytes() const {
  return MaxBaseFramingBytes + MaxFramingPerByte * this->PayloadBytes;
}

bool BodyDecoder::readChunkPart(std::string &Input, std::string &Payload) {
  if (this->State == ChunkState::Data) {
    auto Take = static_cast<std::size_t>(
        std::min<std::uint64_t>(this->Remaining, Input.size()));
    Payload.append(Input, 0, Take);
    Input.erase(0, Take);
    this->Remaining -= Take;
    this->PayloadBytes += Take;
    if (this->Remaining > 0)
      return false;
    this->State = ChunkState::DataEnd;
  }
  std::optional<std::string> Line = this->takeLine(Input);
  if (!Line)
    return false;
  if (this->State == ChunkState::DataEnd) {
    this->Malformed = !Line->empty();
    this->State = ChunkState::Size;
  } else if (this->State == ChunkState::Size) {
    auto Size = parseNumber<std::uint64_t>(
        std::string_view(*Line).substr(0, Line->find(';')), 16);
    this->Malformed = !Size || *Size > MaxChunkBytes || !isFieldText(*Line);
    if (!this->Malformed) {
      this->Remaining = *Size;
      this->State = *Size ? ChunkState::Data : ChunkState::Trailer;
    }
  } else if (Line->empty()) {
    this->State = ChunkState::Done;
  } else {
    this->Malformed = !parseFieldLine(*Line);
  }
  return !this->Malformed;
}

std::optional<BodyDecoder> requestBody(const Poco::Net::HTTPRequest &Head) {
  // A reader of that version knows no chunks (RFC 9112, 6.1).
  if (Head.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0 &&
      Head.has(Poco::Net::HTTPMessage::TRANSFER_ENCODING))
    return std::nullopt;
  return declaredBody(Head, Framing::None);
}

std::optional<BodyDecoder> responseBody(const Poco::Net::HTTPResponse &Head,
                                        const std::string &Method) {
  int Status = Head.getStatus();
  if (Method == "HEAD" || Status == 204 || Status == 304 ||
      Status < MinFinalStatus)
    return BodyDecoder(Framing::None, 0);
  return declaredBody(Head, Framing::UntilClose);
}

void copyEndToEnd(const Poco::Net::MessageHeader &From,
                  Poco::Net::MessageHeader &Out) {
  Poco::StringTokenizer ConnectionFields(
      From.get("Connection", ""), ",",
      Poco::StringTokenizer::TOK_TRIM |
          Poco::StringTokenizer::TOK_IGNORE_EMPTY);
  for (const auto &Field : From) {
    const std::string &Name = Field.first;
    std::string LowerName = Poco::toLower(Name);
    bool IsHopByHop =
        std::find(HopByHop.begin(), HopByHop.end(), LowerName) !=
            HopByHop.end() ||
        std::any_of(ConnectionFields.begin(), ConnectionFields.end(),
                    [&](const std::string &Other) {
                      return Poco::icompare(Other, Name) == 0;
                    });
    if (!IsHopByHop && LowerName != "content-length")
      Out.add(Name, Field.second);
  }
}

std::optional<StreamEvent> takeEvent(std::string &Buffer) {
  std::size_t End = Buffer.find("\n\n");
  std::size_t Length = 2;
  if (std::size_t CrLfEnd = Buffer.find(CrLfEventEnd); CrLfEnd < End) {
    End = CrLfEnd;
    Length = CrLfEventEnd.size();
  }
  if (End == std::string::npos)
    return std::nullopt;
  StreamEvent Event;
  Event.Bytes = Buffer.substr(0, End + Length);
  Buffer.erase(0, End + Length);
  for (std::size_t At = 0; At < Event.Bytes.size();) {
    std::size_t LineEnd = Event.Bytes.find('\n', At);
    std::string_view Line(Event.Bytes.data() + At, LineEnd - At);
    if (Line.starts_with("id:")) {
      Line.remove_prefix(3);
      while (!Line.empty() && Line.front() == ' ')
        Line.remove_prefix(1);
      while (!Line.empty() && (Line.back() == '\r' || Line.back() == ' '))
        Line.remove_suffix(1);
      Event.Id = parseNumber<std::uint64_t>(Line);
    }
    At = LineEnd + 1;
  }
  return Event;
}

} // namespace waycove
