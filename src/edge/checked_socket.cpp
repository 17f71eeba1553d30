// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "edge/checked_socket.h"

#include "edge/request.h"
#include "net/head.h"

#include <Poco/Net/MessageHeader.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <sstream>
#include <sys/socket.h>

namespace waycove {

namespace {

constexpr std::size_t ReadBytes = 8192;
constexpr std::string_view LineEnd = "\r\n";
constexpr const char *LastChunk = "0\r\n\r\n";
constexpr const char *NoBodyField = "Content-Length: 0\r\n";

/// One chunk, without extensions.
std::string chunkOf(const std::string &Payload) {
  std::ostringstream Out;
  Out << std::hex << Payload.size() << "\r\n" << Payload << "\r\n";
  return Out.str();
}

/// Whether POCO changes a value as it reads it: it decodes words of RFC 2047.
bool hasEncodedWord(const Poco::Net::HTTPRequest &Head) {
  return std::any_of(Head.begin(), Head.end(), [](const auto &Field) {
    return Poco::Net::MessageHeader::decodeWord(Field.second) != Field.second;
  });
}

/// The response to a request that is not passed on.
std::string refusalOf(const absl::Status &Error) {
  const std::string Body = errorJson(Error);
  Poco::Net::HTTPResponse Head(Poco::Net::HTTPMessage::HTTP_1_1,
                               Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
  Head.setContentType("application/json");
  Head.setContentLength64(static_cast<Poco::Int64>(Body.size()));
  Head.setKeepAlive(false);
  std::ostringstream Out;
  Head.write(Out);
  return Out.str() + Body;
}

/// A connection of a CheckedServerSocket.
class CheckedStream : public Poco::Net::StreamSocketImpl {
public:
  explicit CheckedStream(poco_socket_t Descriptor)
      : StreamSocketImpl(Descriptor) {}

  int receiveBytes(void *Buffer, int Length, int /*Flags*/) override {
    while (this->Checked.empty() && this->fill())
      ;
    std::size_t Taken =
        std::min(this->Checked.size(), static_cast<std::size_t>(Length));
    std::memcpy(Buffer, this->Checked.data(), Taken);
    this->Checked.erase(0, Taken);
    return static_cast<int>(Taken);
  }

  bool poll(const Poco::Timespan &Timeout, int Mode) override {
    bool HasInput = !this->Checked.empty() || !this->Received.empty();
    if ((Mode & Poco::Net::Socket::SELECT_READ) && HasInput)
      return true;
    return StreamSocketImpl::poll(Timeout, Mode);
  }

private:
  /// Reads more bytes. Returns false if there are no more.
  bool fill() {
    if (this->Ended)
      return false;
    // Requests that follow on one another arrive with one read.
    if (this->pass())
      return true;
    if (this->Ended)
      return false;
    std::array<char, ReadBytes> Part{};
    int Read = StreamSocketImpl::receiveBytes(Part.data(), Part.size(), 0);
    if (Read <= 0) {
      this->Ended = true;
      if (this->Filter.isWithinBody())
        throw Poco::Net::MessageException("the body was cut");
      return false;
    }
    this->Received.append(Part.data(), static_cast<std::size_t>(Read));
    return true;
  }

  /// Passes received bytes on; returns whether there are any.
  bool pass() {
    absl::Status Passed = this->Filter.pass(this->Received, this->Checked);
    if (Passed.ok() || !this->Checked.empty())
      return !this->Checked.empty();
    this->Ended = true;
    if (this->Filter.isWithinBody())
      throw Poco::Net::MessageException(messageOf(Passed));
    const std::string Refusal = refusalOf(Passed);
    this->sendBytes(Refusal.data(), static_cast<int>(Refusal.size()));
    return false;
  }

  RequestFilter Filter;
  std::string Received;
  /// Passed by the filter, and not yet read by POCO.
  std::string Checked;
  bool Ended = false;
};

/// Accepts connections as CheckedStreams.
class CheckedListener : public Poco::Net::ServerSocketImpl {
public:
  Poco::Net::SocketImpl *
  acceptConnection(Poco::Net::SocketAddress &From) override {
    sockaddr_storage Address{};
    socklen_t Size = sizeof(Address);
    auto *Peer = reinterpret_cast<sockaddr *>(&Address);
    int Descriptor = -1;
    do
      Descriptor = ::accept4(this->sockfd(), Peer, &Size, SOCK_CLOEXEC);
    while (Descriptor < 0 && errno == EINTR);
    if (Descriptor < 0)
      error();
    From = Poco::Net::SocketAddress(Peer, Size);
    return new CheckedStream(Descriptor);
  }
};

} // namespace

absl::Status RequestFilter::pass(std::string &Input, std::string &Output) {
  while (true) {
    if (this->Body) {
      if (absl::Status Passed = this->passBody(Input, Output);
          !Passed.ok() || this->Body)
        return Passed;
    }
    absl::StatusOr<bool> Complete = this->passHead(Input, Output);
    if (!Complete.ok() || !*Complete)
      return Complete.status();
  }
}

absl::StatusOr<bool> RequestFilter::passHead(std::string &Input,
                                             std::string &Output) {
  std::optional<std::size_t> Length = headLength(Input);
  if (Length.value_or(Input.size()) > MaxHeadBytes)
    return makeError(ErrorKind::BadRequest, "the head is too large");
  if (!Length && mayBecomeHead(Input))
    return false;
  auto Head = parseRequestHead(
      std::string_view(Input).substr(0, Length.value_or(Input.size())));
  if (!Head || hasEncodedWord(*Head))
    return makeError(ErrorKind::BadRequest, "the head is malformed");
  this->Body = requestBody(*Head);
  if (!this->Body)
    return makeError(ErrorKind::BadRequest, "the body's end is ambiguous");
  Output.append(Input, 0, *Length - LineEnd.size());
  if (this->Body->kind() == Framing::None && !Head->hasContentLength())
    Output += NoBodyField;
  Output += LineEnd;
  Input.erase(0, *Length);
  return true;
}

absl::Status RequestFilter::passBody(std::string &Input, std::string &Output) {
  std::string Payload;
  this->Body->feed(Input, Payload);
  if (this->Body->isMalformed())
    return makeError(ErrorKind::BadRequest, "the body's chunks are malformed");
  const bool IsChunked = this->Body->kind() == Framing::Chunked;
  if (!Payload.empty())
    Output += IsChunked ? chunkOf(Payload) : Payload;
  if (!this->Body->isDone())
    return absl::OkStatus();
  if (IsChunked)
    Output += LastChunk;
  this->Body.reset();
  return absl::OkStatus();
}

CheckedServerSocket::CheckedServerSocket()
    : ServerSocket(new CheckedListener, true) {}

} // namespace waycove
