// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/way_link.h"

#include <algorithm>

namespace waycove {

namespace {

constexpr Millis ConnectTimeout{100};
/// The other node may need its own timeout for connecting to the target.
constexpr Millis ResponseTimeout{250};
/// Longer than the 200 ms after which a lost packet is retransmitted.
constexpr Millis AckTimeout{300};

} // namespace

std::optional<WayResponse> askForWay(EntryBoard &Board, const NodeInfo &Node,
                                     const WayRequest &Wanted,
                                     TimePoint Until) {
  auto Left = std::chrono::ceil<Millis>(Until - SystemClock{}.now());
  if (Left <= Millis(0))
    return std::nullopt;
  auto Socket =
      FrameSocket::dial(Node.Host, Node.Port, std::min(ConnectTimeout, Left));
  if (!Socket.ok())
    return std::nullopt;
  auto Link = std::make_unique<FrameSocket>(*Socket, Board.Counters);
  Link->setAckTimeout(AckTimeout);
  wire::ForwardT Request;
  Request.request = Wanted.Request.Text;
  Request.target = Wanted.Target.Id.Text;
  Request.target_started_ms = Wanted.Target.StartedAt.Value;
  Request.deadline_ms = static_cast<std::uint64_t>(Wanted.Remaining.count());
  Request.repeatable = Wanted.MayRepeat;
  std::uint64_t Clock = Board.Clock.tick(SystemClock{}.wall());
  Until = std::min(Until, SystemClock{}.now() + ResponseTimeout);
  if (!Link->send(makeFrame(Clock, std::move(Request)), Until))
    return std::nullopt;
  absl::StatusOr<wire::FrameT> Frame = Link->receiveBy(Until);
  const auto *Head = Frame.ok() ? Frame->message.AsForwardHead() : nullptr;
  if (!Head)
    return std::nullopt;
  return WayResponse{static_cast<WayStatus>(Head->status), std::move(Link)};
}

} // namespace waycove
