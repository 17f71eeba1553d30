// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "net/response_reader.h"

#include <algorithm>

namespace waycove {

const char *nameOf(ReadResult Result) {
  switch (Result) {
  case ReadResult::More:
    return "there is more";
  case ReadResult::Done:
    return "whole";
  case ReadResult::TimedOut:
    return "no response in time";
  case ReadResult::Overlong:
    return "the response takes too long";
  case ReadResult::NoResponse:
    return "what came is no response, or too large";
  case ReadResult::Broken:
    break;
  }
  return "the response was cut";
}

ReadResult ResponseReader::readHead() {
  while (true) {
    switch (this->Heads.take(this->From.buffer(), this->Head)) {
    case ResponseHeadReader::Result::Complete:
      this->Body = responseBody(*this->Head, this->Method);
      return this->Body ? ReadResult::Done : ReadResult::NoResponse;
    case ResponseHeadReader::Result::Invalid:
      return ReadResult::NoResponse;
    case ResponseHeadReader::Result::Incomplete:
      break;
    }
    if (ReadResult Read = this->fill(); Read != ReadResult::More)
      return Read;
  }
}

ReadResult ResponseReader::readSome(std::string &Payload) {
  while (true) {
    if (this->Body->remaining() > this->Bounds.BodyBytes)
      return ReadResult::NoResponse;
    std::size_t Before = Payload.size();
    this->Body->feed(this->From.buffer(), Payload);
    if (this->Body->isDone())
      return ReadResult::Done;
    if (this->Body->isMalformed())
      return ReadResult::NoResponse;
    if (Payload.size() > Before)
      return ReadResult::More;
    ReadResult Read = this->fill();
    if (Read == ReadResult::Broken && this->endsWithConnection() &&
        this->IsClosed) {
      this->Body->close();
      return ReadResult::Done;
    }
    if (Read != ReadResult::More)
      return Read;
  }
}

ReadResult ResponseReader::readBody(std::string &Payload) {
  while (true) {
    ReadResult Read = this->readSome(Payload);
    if (Payload.size() > this->Bounds.BodyBytes)
      return ReadResult::NoResponse;
    if (Read != ReadResult::More)
      return Read;
  }
}

ReadResult ResponseReader::fill() {
  TimePoint Until =
      std::min(this->Bounds.Until, BootClock::now() + this->Bounds.Silence);
  std::size_t Before = this->From.buffer().size();
  // Also where bytes arrive without a pause.
  IoStatus Status = BootClock::now() < this->Bounds.Until
                        ? this->From.fill(Until)
                        : IoStatus::Timeout;
  this->ReceivedBytes += this->From.buffer().size() - Before;
  switch (Status) {
  case IoStatus::Ok:
    return ReadResult::More;
  case IoStatus::Timeout:
    return this->ReceivedBytes > 0 ? ReadResult::Overlong
                                   : ReadResult::TimedOut;
  case IoStatus::Closed:
    this->IsClosed = true;
    break;
  case IoStatus::Broken:
  case IoStatus::Exhausted:
    break;
  }
  return ReadResult::Broken;
}

} // namespace waycove
