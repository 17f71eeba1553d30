// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/neighbour_channel.h"

#include <algorithm>

namespace waycove {

IoStatus NeighbourChannel::send(std::string_view Bytes, TimePoint Until) {
  std::uint64_t Clock = this->Board->Clock.tick(SystemClock{}.wall());
  return this->Link->sendData(Clock, Bytes, Until) ? IoStatus::Ok
                                                   : IoStatus::Broken;
}

IoStatus NeighbourChannel::fillNow(TimePoint Until) {
  if (this->Ended)
    return *this->Ended;
  Until = std::min(Until, SystemClock{}.now() + FrameTimeout);
  std::size_t Before = this->Buffer.size();
  do {
    absl::StatusOr<wire::FrameT> Frame = this->Link->receiveBy(Until);
    if (!Frame.ok())
      return IoStatus::Broken;
    this->LastFrameAt = SystemClock{}.now();
    if (const auto *Data = Frame->message.AsForwardData()) {
      this->Buffer.append(Data->data.begin(), Data->data.end());
    } else if (const auto *End = Frame->message.AsForwardEnd()) {
      this->TargetEnded = true;
      this->Ended = End->whole ? IoStatus::Closed : IoStatus::Broken;
    } else {
      return IoStatus::Broken;
    }
  } while (this->hasInput() && this->LastFrameAt < Until &&
           this->Buffer.size() < Before + FillBytes);
  if (this->Buffer.size() > Before)
    return IoStatus::Ok;
  return this->Ended.value_or(IoStatus::Timeout);
}

} // namespace waycove
