// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "net/http.h"

#include "net/response_reader.h"

#include <sstream>

namespace waycove {

namespace {

/// A connection that was idle for longer is replaced: the server may be closing
/// it, and then the outcome of a request would be unknown.
constexpr Millis MaxIdleTime(4000);
/// Longer than the 200 ms after which a lost packet is retransmitted. Detects a
/// dead connection before the timeout of the call.
constexpr Millis AckTimeout(400);
constexpr const char *OverBoundsPayload = "waycove/over_bounds";

absl::Status unknownOutcome(const std::string &Message) {
  return makeError(ErrorKind::OutcomeUnknown, Message);
}

absl::Status readError(ReadResult Result) {
  absl::Status Error = unknownOutcome(nameOf(Result));
  if (isOverBounds(Result))
    Error.SetPayload(OverBoundsPayload, absl::Cord("1"));
  return Error;
}

} // namespace

bool isOverBounds(const absl::Status &Status) {
  return Status.GetPayload(OverBoundsPayload).has_value();
}

Poco::Timespan timespanOf(Millis Time) { return {Time.count() * 1000}; }

HttpClient::HttpClient(const Endpoint &Server, Millis ConnectTimeout,
                       Metrics &Counters, ByteCounters Count,
                       const ReplyBounds &Bounds)
    : Server(Server), ConnectTimeout(ConnectTimeout), Counters(Counters),
      Count(Count), Bounds(Bounds) {}

absl::StatusOr<HttpReply> HttpClient::call(const HttpCall &Call,
                                           Millis Timeout) {
  std::lock_guard Lock(this->Mutex);
  if (absl::Status Opened = this->open(); !Opened.ok())
    return Opened;
  absl::StatusOr<HttpReply> Reply = this->exchange(Call, Timeout);
  this->LastUsed = BootClock::now();
  if (!Reply.ok())
    this->drop();
  return Reply;
}

void HttpClient::renew() {
  std::lock_guard Lock(this->Mutex);
  this->Connection.reset();
}

absl::Status HttpClient::open() {
  TimePoint Now = BootClock::now();
  // Unread bytes would be taken for the next reply.
  if (this->Connection &&
      (Now - this->LastUsed > MaxIdleTime ||
       !this->Connection->buffer().empty() || this->Connection->isReadable()))
    this->Connection.reset();
  if (this->Connection)
    return absl::OkStatus();
  IoStatus Status =
      Channel::connect({this->Server.Host, this->Server.Port},
                       Now + this->ConnectTimeout, this->Connection);
  if (Status != IoStatus::Ok)
    return makeError(ErrorKind::NoCapacity,
                     "no connection to " + this->Server.text());
  this->Connection->setAckTimeout(AckTimeout);
  return absl::OkStatus();
}

void HttpClient::drop() {
  if (this->Connection)
    this->Connection->abort();
  this->Connection.reset();
}

std::string HttpClient::serialize(const HttpCall &Call) const {
  Poco::Net::HTTPRequest Request(Call.Method, Call.Path,
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  Request.setHost(this->Server.Host, this->Server.Port);
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
  std::ostringstream Out;
  Request.write(Out);
  return Out.str() + Call.Body;
}

absl::StatusOr<HttpReply> HttpClient::exchange(const HttpCall &Call,
                                               Millis Timeout) {
  TimePoint Begin = BootClock::now();
  std::string Bytes = this->serialize(Call);
  if (this->Connection->send(Bytes, Begin + Timeout) != IoStatus::Ok)
    return unknownOutcome("the request could not be sent");
  this->Counters.add(this->Count.Out, Bytes.size());
  ResponseReader Reader(*this->Connection, Call.Method,
                        {Begin + Timeout + this->Bounds.TransferTime, Timeout,
                         this->Bounds.BodyBytes});
  HttpReply Reply;
  ReadResult Read = Reader.readHead();
  // The end of a body that ends with its connection may be missing.
  if (Read == ReadResult::Done && Reader.endsWithConnection())
    return unknownOutcome("a response without length");
  if (Read == ReadResult::Done)
    Read = Reader.readBody(Reply.Body);
  this->Counters.add(this->Count.In, Reader.receivedBytes());
  if (Read != ReadResult::Done)
    return readError(Read);
  const Poco::Net::HTTPResponse &Response = Reader.head();
  Reply.Status = Response.getStatus();
  Reply.ContentType = Response.getContentType();
  Reply.NotRun = Response.get("X-Waycove-Not-Run", "") == "yes";
  Reply.Leaving = Response.get("X-Waycove-Leaving", "") == "yes";
  Reply.RequestId = Response.get("X-Request-Id", "");
  Reply.Header = Response;
  if (!Response.getKeepAlive())
    this->Connection.reset();
  return Reply;
}

} // namespace waycove
