// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "net/http.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/NumberParser.h>
#include <Poco/StreamCopier.h>
#include <Poco/String.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sstream>

namespace waycove {

namespace {

/// A kept connection older than this is opened anew: the server may just be
/// closing it, and then nobody could say whether a request was read.
constexpr Millis KeepOpen(4000);
/// For the other end to acknowledge what was sent; a lost packet is sent again
/// after 200 ms. A connection that died without a word shows so at the next
/// call instead of by that call's time-out.
constexpr Millis Unacknowledged(400);
constexpr std::size_t MaxSizeLine = 1024;
constexpr std::size_t MaxAnswer = 256 << 20;

} // namespace

std::string WholeBodySession::readSizeLine() {
  std::string Line;
  while (true) {
    int C = this->get();
    if (C == std::char_traits<char>::eof() || Line.size() > MaxSizeLine)
      throw Poco::Net::NetException("the answer was cut");
    if (C == '\n')
      return Line;
    if (C != '\r')
      Line.push_back(static_cast<char>(C));
  }
}

std::string WholeBodySession::readChunks() {
  std::string Body;
  while (true) {
    std::string Line = this->readSizeLine();
    std::size_t Size = Poco::NumberParser::parseHex(
        Poco::trim(Line.substr(0, Line.find(';'))));
    // The last chunk is followed by lines that end with an empty one.
    if (Size == 0) {
      while (!this->readSizeLine().empty())
        ;
      return Body;
    }
    if (Body.size() + Size > MaxAnswer)
      throw Poco::Net::NetException("the answer is too large");
    std::size_t Have = Body.size();
    Body.resize(Have + Size);
    while (Size > 0) {
      std::streamsize Got =
          this->read(Body.data() + Have, static_cast<std::streamsize>(Size));
      if (Got <= 0)
        throw Poco::Net::NetException("the answer was cut");
      Have += static_cast<std::size_t>(Got);
      Size -= static_cast<std::size_t>(Got);
    }
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
  if (!this->Fresh && Now - this->LastUsed > KeepOpen)
    this->Session.reset();
  this->LastUsed = Now;
  this->Fresh = false;
  bool Sent = false;
  try {
    this->Session.setTimeout(timespanOf(this->ConnectTimeout),
                             timespanOf(Timeout), timespanOf(Timeout));
    this->Session.open();
    // A kept connection still has the times of the call that opened it.
    this->Session.socket().setReceiveTimeout(timespanOf(Timeout));
    this->Session.socket().setSendTimeout(timespanOf(Timeout));
    this->Session.socket().setOption(IPPROTO_TCP, TCP_USER_TIMEOUT,
                                     static_cast<int>(Unacknowledged.count()));
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

/// Gives up a call: what was not delivered yet must not be delivered later.
void HttpClient::drop() {
  try {
    if (this->Session.connected())
      this->Session.socket().setLinger(true, 0);
  } catch (const Poco::Exception &) {
    // Reset by the other end already, which is what was wanted.
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
  for (const HttpHeader &Row : Call.Headers)
    Request.set(Row.Name, Row.Value);
  std::ostream &Out = this->Session.sendRequest(Request);
  Out << Call.Body;
  this->Counters.add(this->Count.Out, headBytes(Request) + Call.Body.size());
  Poco::Net::HTTPResponse Response;
  std::istream &In = this->Session.receiveResponse(Response);
  HttpReply Reply;
  // A body that ended before its length or its last chunk is no answer, and
  // where neither is given, nobody could tell.
  int Status = Response.getStatus();
  bool Bodyless = Call.Method == "HEAD" || Status == 204 || Status == 304;
  if (!Bodyless && Response.getChunkedTransferEncoding()) {
    Reply.Body = this->Session.readChunks();
  } else if (!Bodyless) {
    if (!Response.hasContentLength())
      throw Poco::Net::NetException("an answer without length");
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
