// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/caller_response.h"

#include <array>
#include <charconv>
#include <sstream>

namespace waycove {

IoStatus CallerResponse::send(std::string_view Bytes, TimePoint Until,
                              const std::function<void()> &OnHeldUp) {
  TimePoint Begin = BootClock::now();
  IoStatus Status = this->Caller.send(Bytes, Until, OnHeldUp);
  this->WriteTime += BootClock::now() - Begin;
  this->Failed = this->Failed || Status != IoStatus::Ok;
  this->TimedOut = Status == IoStatus::Timeout;
  // Otherwise the kernel sends what it holds for as long as the caller reads.
  if (this->TimedOut)
    this->Caller.abort();
  return Status;
}

IoStatus CallerResponse::sendHead(Poco::Net::HTTPResponse &Head,
                                  const std::string &Body, TimePoint Until) {
  this->Started = true;
  Head.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
  if (!this->KeepAlive)
    Head.set("Connection", "close");
  std::ostringstream Out;
  Head.write(Out);
  return this->send(Out.str() + Body, Until);
}

IoStatus CallerResponse::sendWhole(Poco::Net::HTTPResponse Head,
                                   const std::string &Body, TimePoint Until) {
  if (Head.getStatus() != 204 && Head.getStatus() != 304)
    Head.setContentLength64(static_cast<Poco::Int64>(Body.size()));
  return this->sendHead(Head, this->HasBody ? Body : "", Until);
}

IoStatus CallerResponse::beginStream(Poco::Net::HTTPResponse Head,
                                     TimePoint Until) {
  Head.setChunkedTransferEncoding(true);
  return this->sendHead(Head, "", Until);
}

IoStatus CallerResponse::sendChunk(std::string_view Bytes, TimePoint Until,
                                   const std::function<void()> &OnHeldUp) {
  if (Bytes.empty())
    return IoStatus::Ok;
  std::array<char, 20> Size{};
  auto [End, Error] =
      std::to_chars(Size.data(), Size.data() + Size.size(), Bytes.size(), 16);
  std::string Chunk(Size.data(), End);
  Chunk.append("\r\n").append(Bytes).append("\r\n");
  return this->send(Chunk, Until, OnHeldUp);
}

IoStatus CallerResponse::endStream(TimePoint Until) {
  return this->send("0\r\n\r\n", Until);
}

void CallerResponse::abort() { this->Failed = true; }

} // namespace waycove
