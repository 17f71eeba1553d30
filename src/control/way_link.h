// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"
#include "wire/frame.h"

#include <memory>

namespace waycove {

/// How a node responds to another one that asks it for a way to a target.
enum class WayStatus : std::uint16_t {
  /// It has a connection to the target, and forwards what follows.
  Open = 200,
  /// The target wants nothing from it, or is not in its registry.
  Declined = 429,
  /// It reaches targets, but not this one.
  NoTarget = 502,
  /// It offers no way to any target now.
  NoWay = 503,
};

/// For which request a node asks another one for a way to a target.
struct WayRequest {
  VmIncarnation Target;
  RequestId Request;
  Millis Remaining{0};
  bool MayRepeat = false;
};

/// Another node's response, and the connection to it if the status is Open.
/// Until a request is sent over that, nothing can run.
struct WayResponse {
  WayStatus Status;
  std::unique_ptr<FrameSocket> Link;
};

/// Asks \p Node for a way to a target. Returns nothing if it does not respond:
/// it is down or cut off, or is of a version that carries no requests.
std::optional<WayResponse> askForWay(EntryBoard &Board, const NodeInfo &Node,
                                     const WayRequest &Wanted, TimePoint Until);

} // namespace waycove
