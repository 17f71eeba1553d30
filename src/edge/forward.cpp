// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "edge/forward.h"

namespace waycove {

bool PeerSink::head(int Status, const std::string &Type, Millis Retry,
                    ResponseLength Length) {
  wire::ForwardHeadT Head;
  Head.status = static_cast<std::uint16_t>(Status);
  if (this->Error)
    Head.error_ran = static_cast<std::uint8_t>(*this->Error) + 1;
  Head.has_length = Length.has_value();
  Head.length = Length.value_or(0);
  Head.content_type = Type;
  Head.retry_after_ms = static_cast<std::uint64_t>(Retry.count());
  return this->send(std::move(Head));
}

bool PeerSink::data(std::string_view Bytes) {
  return this->Frames.sendData(this->Clock.tick(SystemClock{}.wall()), Bytes);
}

bool PeerSink::end() {
  wire::ForwardEndT End;
  End.whole = true;
  return this->send(End);
}

void PeerSink::cut() { this->send(wire::ForwardEndT()); }

} // namespace waycove
