// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "net/http.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/NumberParser.h>
#include <Poco/StreamCopier.h>
#include <Poco/String.h>
#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sstream>

namespace waycove {

namespace {

/// A connection that was idle for longer is replaced: the server may be closing
/// it, and then the outcome of a request would be unknown.
constexpr Millis MaxIdleTime(4000);
/// Longer than the 200 ms after which a lost packet is retransmitted. Detects a
/// dead connection before the timeout of the call.
constexpr Millis AckTimeout(400);
constexpr std::size_t MaxSizeLineBytes = 1024;
constexpr std::size_t MaxBodyBytes = 256 << 20;
/// Room for a chunk is made in steps, as its bytes arrive.
constexpr std::size_t ReadBytes = 64 << 10;

} // namespace

std::string WholeBodySession::readSizeLine() {
  std::string Line;
  while (true) {
    int C = this->get();
    if (C == std::char_traits<char>::eof() || Line.size() > MaxSizeLineBytes)
      throw Poco::Net::NetException("the answer was cut");
    if (C == '\n')
      return Line;
    if (C != '\r')
      Line.push_back(static_cast<char>(C));
  }
}

std::size_t WholeBodySession::readInto(std::string &Body, std::size_t Most) {
  std::size_t Length = Body.size();
  Body.resize(Length + Most);
  std::streamsize Received =
      this->read(Body.data() + Length, static_cast<std::streamsize>(Most));
  if (Received <= 0)
    throw Poco::Net::NetException("the answer was cut");
  Body.resize(Length + static_cast<std::size_t>(Received));
  return static_cast<std::size_t>(Received);
}

std::string WholeBodySession::readChunks() {
  std::string Body;
  while (true) {
    std::string Line = this->readSizeLine();
    std::size_t Size = Poco::NumberParser::parseHex(
        Poco::trim(Line.substr(0, Line.find(';'))));
    // The last chunk is followed by trailer lines and an empty line.
    if (Size == 0) {
      while (!this->readSizeLine().empty())
        ;
      return Body;
    }
    if (Body.size() + Size > MaxBodyBytes)
      throw Poco::Net::NetException("the answer is too large");
    while (Size > 0)
      Size -= this->readInto(Body, std::min(Size, ReadBytes));
    this->readSizeLine();
  }
}

Poco::Timespan timespanOf(Millis Time) { return {Time.count() * 1000}; }

HttpClient::HttpClient(const Endpoint &Server, Millis ConnectTimeout,
                       Metrics &Counters, ByteCounters Count)
    : Session(Server.Host, Server.Port), ConnectTimeout(ConnectTimeout),
      Counters(Counters), Count(Count) {
  this->Session.setKeepAlive(true);
}

absl::StatusOr<HttpReply> HttpClient::call(const HttpCall &Call,
                                           Millis Timeout) {
  std::lock_guard Lock(this->Mutex);
  TimePoint Now = BootClock::now();
  if (!this->IsNew && Now - this->LastUsed > MaxIdleTime)
    this->Session.reset();
  this->LastUsed = Now;
  this->IsNew = false;
  bool Sent = false;
  try {
    this->Session.setTimeout(timespanOf(this->ConnectTimeout),
                             timespanOf(Timeout), timespanOf(Timeout));
    this->Session.open();
    // A reused connection still has the timeouts of the call that opened it.
    this->Session.socket().setReceiveTimeout(timespanOf(Timeout));
    this->Session.socket().setSendTimeout(timespanOf(Timeout));
    this->Session.socket().setOption(IPPROTO_TCP, TCP_USER_TIMEOUT,
                                     static_cast<int>(AckTimeout.count()));
    Sent = true;
    return this->exchange(Call);
  } catch (const Poco::Exception &Error) {
    this->drop();
    return makeError(Sent ? ErrorKind::OutcomeUnknown : ErrorKind::NoCapacity,
                     Error.displayText());
  }
}

void HttpClient::renew() {
  std::lock_guard Lock(this->Mutex);
  this->Session.reset();
}

/// Closes the connection with a reset, so that nothing of a failed call is
/// delivered later.
void HttpClient::drop() {
  try {
    if (this->Session.connected())
      this->Session.socket().setLinger(true, 0);
  } catch (const Poco::Exception &) {
    // Already reset by the peer.
  }
  this->Session.reset();
}

absl::StatusOr<HttpReply> HttpClient::exchange(const HttpCall &Call) {
  Poco::Net::HTTPRequest Request(Call.Method, Call.Path,
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  Request.setKeepAlive(true);
  if (!Call.Body.empty()) {
    Request.setContentLength(static_cast<std::streamsize>(Call.Body.size()));
    Request.setContentType(Call.ContentType.empty() ? "application/json"
                                                    : Call.ContentType);
  } else if (Call.Method != "GET" && Call.Method != "HEAD") {
    Request.setContentLength(0);
  }
  for (const HttpHeader &Header : Call.Headers)
    Request.set(Header.Name, Header.Value);
  std::ostream &Out = this->Session.sendRequest(Request);
  Out << Call.Body;
  this->Counters.add(this->Count.Out, headBytes(Request) + Call.Body.size());
  Poco::Net::HTTPResponse Response;
  std::istream &In = this->Session.receiveResponse(Response);
  HttpReply Reply;
  // A body that may be truncated is rejected, also if it has neither a length
  // nor chunks.
  int Status = Response.getStatus();
  bool Bodyless = Call.Method == "HEAD" || Status == 204 || Status == 304;
  if (!Bodyless && Response.getChunkedTransferEncoding()) {
    Reply.Body = this->Session.readChunks();
  } else if (!Bodyless) {
    if (!Response.hasContentLength())
      throw Poco::Net::NetException("an answer without length");
    if (Response.getContentLength64() > static_cast<Poco::Int64>(MaxBodyBytes))
      throw Poco::Net::NetException("the answer is too large");
    Poco::StreamCopier::copyToString(In, Reply.Body);
    if (static_cast<std::size_t>(Response.getContentLength()) !=
        Reply.Body.size())
      throw Poco::Net::NetException("the answer was cut");
  }
  Reply.Status = Response.getStatus();
  Reply.ContentType = Response.getContentType();
  Reply.NotRun = Response.get("X-Waycove-Not-Run", "") == "yes";
  Reply.Leaving = Response.get("X-Waycove-Leaving", "") == "yes";
  Reply.RequestId = Response.get("X-Request-Id", "");
  Reply.Header = Response;
  this->Counters.add(this->Count.In, headBytes(Response) + Reply.Body.size());
  if (!Response.getKeepAlive())
    this->Session.reset();
  return Reply;
}

} // namespace waycove
