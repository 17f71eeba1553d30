// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "net/head.h"

#include <algorithm>
#include <array>

namespace waycove {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view VersionPrefix = "HTTP/1.";
constexpr std::size_t VersionLength = VersionPrefix.size() + 1;
constexpr std::size_t StatusLength = 3;
/// Statuses that Poco::Net::HTTPResponse can hold.
constexpr int MinStatus = 100;
constexpr int MinFinalStatus = 200;
constexpr int MaxStatus = 511;
/// Fields are looked up one by one.
constexpr std::size_t MaxFields = 100;
constexpr unsigned char Delete = 0x7f;

// The classes of bytes; those of <cctype> depend on the locale.

bool isDigit(char C) { return C >= '0' && C <= '9'; }

bool isVisible(char C) {
  auto Byte = static_cast<unsigned char>(C);
  return Byte > ' ' && Byte < Delete;
}

bool isBlank(char C) { return C == ' ' || C == '\t'; }

bool isTokenByte(char C) {
  constexpr std::string_view Delimiters = "\"(),/:;<=>?@[\\]{}";
  return isVisible(C) && Delimiters.find(C) == std::string_view::npos;
}

bool isTextByte(char C) {
  auto Byte = static_cast<unsigned char>(C);
  return C == '\t' || (Byte >= ' ' && Byte != Delete);
}

bool isToken(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenByte);
}

bool isVersion(std::string_view Text) {
  return Text.size() == VersionLength && Text.starts_with(VersionPrefix) &&
         isDigit(Text.back());
}

std::string_view withoutBlanks(std::string_view Text) {
  while (!Text.empty() && isBlank(Text.front()))
    Text.remove_prefix(1);
  while (!Text.empty() && isBlank(Text.back()))
    Text.remove_suffix(1);
  return Text;
}

/// Removes what is ahead of the next \p End, and that, from \p Bytes. Returns
/// nothing if there is no \p End.
std::optional<std::string_view> takeUntil(std::string_view &Bytes,
                                          std::string_view End) {
  std::size_t At = Bytes.find(End);
  if (At == std::string_view::npos)
    return std::nullopt;
  std::string_view Taken = Bytes.substr(0, At);
  Bytes.remove_prefix(At + End.size());
  return Taken;
}

/// A request line or a status line.
struct StartLine {
  std::string_view First;
  std::string_view Second;
  std::string_view Third;
};

/// Splits at the first two blanks. Returns nothing if there is none.
std::optional<StartLine> splitStartLine(std::string_view Line) {
  StartLine Out;
  std::optional<std::string_view> First = takeUntil(Line, " ");
  if (!First)
    return std::nullopt;
  Out.First = *First;
  std::optional<std::string_view> Second = takeUntil(Line, " ");
  Out.Second = Second.value_or(Line);
  Out.Third = Second ? Line : std::string_view();
  return Out;
}

/// Adds the fields of \p Lines, which end with an empty line, to \p Head.
/// Returns whether all are valid.
bool readFields(std::string_view Lines, Poco::Net::MessageHeader &Head) {
  for (std::size_t Count = 0;; ++Count) {
    std::optional<std::string_view> Line = takeUntil(Lines, LineEnd);
    if (!Line)
      return false;
    if (Line->empty())
      return Lines.empty();
    std::optional<FieldLine> Field = parseFieldLine(*Line);
    if (!Field || Count == MaxFields)
      return false;
    Head.add(std::string(Field->Name), std::string(Field->Value));
  }
}

/// Parses three digits of a status that POCO's type holds; to read another one
/// from it is undefined.
std::optional<int> parseStatus(std::string_view Text) {
  if (Text.size() != StatusLength ||
      !std::all_of(Text.begin(), Text.end(), isDigit))
    return std::nullopt;
  int Status = 0;
  for (char Digit : Text)
    Status = Status * 10 + (Digit - '0');
  if (Status < MinStatus || Status > MaxStatus)
    return std::nullopt;
  return Status;
}

} // namespace

bool isFieldText(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), isTextByte);
}

bool mayBecomeLine(std::string_view Bytes) {
  if (Bytes.ends_with(LineEnd.front()))
    Bytes.remove_suffix(1);
  return isFieldText(Bytes);
}

std::optional<FieldLine> parseFieldLine(std::string_view Line) {
  std::optional<std::string_view> Name = takeUntil(Line, ":");
  if (!Name || !isToken(*Name) || !isFieldText(Line))
    return std::nullopt;
  return FieldLine{*Name, withoutBlanks(Line)};
}

std::optional<std::size_t> headLength(std::string_view Buffer) {
  std::size_t At = Buffer.find(HeadEnd);
  if (At == std::string_view::npos)
    return std::nullopt;
  return At + HeadEnd.size();
}

bool mayBecomeHead(std::string_view Buffer) {
  if (std::optional<std::string_view> Start = takeUntil(Buffer, LineEnd);
      Start && (Start->empty() || !isFieldText(*Start)))
    return false;
  while (std::optional<std::string_view> Line = takeUntil(Buffer, LineEnd))
    if (!parseFieldLine(*Line))
      return false;
  return mayBecomeLine(Buffer);
}

std::optional<Poco::Net::HTTPRequest> parseRequestHead(std::string_view Bytes) {
  std::optional<std::string_view> First = takeUntil(Bytes, LineEnd);
  std::optional<StartLine> Line = First ? splitStartLine(*First) : std::nullopt;
  if (!Line || !isToken(Line->First) || !Line->Second.starts_with('/') ||
      !std::all_of(Line->Second.begin(), Line->Second.end(), isVisible) ||
      !isVersion(Line->Third))
    return std::nullopt;
  Poco::Net::HTTPRequest Head{std::string(Line->First),
                              std::string(Line->Second),
                              std::string(Line->Third)};
  if (!readFields(Bytes, Head))
    return std::nullopt;
  return Head;
}

std::optional<Poco::Net::HTTPResponse>
parseResponseHead(std::string_view Bytes) {
  std::optional<std::string_view> First = takeUntil(Bytes, LineEnd);
  std::optional<StartLine> Line = First ? splitStartLine(*First) : std::nullopt;
  if (!Line || !isVersion(Line->First) || !isFieldText(Line->Third))
    return std::nullopt;
  std::optional<int> Status = parseStatus(Line->Second);
  if (!Status)
    return std::nullopt;
  Poco::Net::HTTPResponse Head(
      std::string(Line->First),
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(*Status),
      std::string(Line->Third));
  if (!readFields(Bytes, Head))
    return std::nullopt;
  return Head;
}

ResponseHeadReader::Result
ResponseHeadReader::take(std::string &Buffer,
                         std::optional<Poco::Net::HTTPResponse> &Head) {
  while (std::optional<std::size_t> Length = headLength(Buffer)) {
    this->TakenBytes += *Length;
    if (this->TakenBytes > MaxBytes)
      return Result::Invalid;
    Head = parseResponseHead(std::string_view(Buffer).substr(0, *Length));
    if (!Head)
      return Result::Invalid;
    Buffer.erase(0, *Length);
    if (Head->getStatus() >= MinFinalStatus)
      return Result::Complete;
    Head.reset();
  }
  if (this->TakenBytes + Buffer.size() > MaxBytes || !mayBecomeHead(Buffer))
    return Result::Invalid;
  return Result::Incomplete;
}

} // namespace waycove
