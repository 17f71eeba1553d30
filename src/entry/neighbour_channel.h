// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/way_link.h"
#include "net/channel.h"

namespace waycove {

/// A connection to a target through another node. The bytes of requests and
/// responses are the same as on a direct connection; frames carry them, so that
/// the end of a response that the target completed differs from the end of the
/// other node. To be used by one thread at a time.
class NeighbourChannel {
public:
  /// \p Link is the connection to \p Node after that has opened a way.
  NeighbourChannel(EntryBoard &Board, NodeId Node,
                   std::unique_ptr<FrameSocket> Link)
      : Board(&Board), Node(std::move(Node)), Link(std::move(Link)) {}

  IoStatus send(std::string_view Bytes, TimePoint Until);
  /// Reads what has arrived, and the rest of a frame that arrives by \p Until.
  /// Timeout if it holds no bytes of the target, but shows that the other node
  /// is alive. Leaves what is more than a response usually has for later.
  IoStatus fillNow(TimePoint Until);
  /// Whether frames have been received that fillNow() has not read yet.
  bool hasInput() const { return !this->Ended && this->Link->hasInput(); }
  void abort() { this->Link->abort(); }
  std::string &buffer() { return this->Buffer; }
  int descriptor() const { return this->Link->descriptor(); }
  const NodeId &node() const { return this->Node; }
  /// Whether the target ended the connection, and not the other node.
  bool hasTargetEnded() const { return this->TargetEnded; }
  /// Whether the other node has sent nothing for several intervals, in which
  /// this node has run.
  bool isSilent(TimePoint Now) const {
    return this->Board->runningTime(this->LastFrameAt, Now) >= SilenceTimeout;
  }

  /// While a target is silent, the other node shows at this interval that it
  /// is alive itself.
  static constexpr Millis AliveInterval{150};

private:
  /// For the rest of a frame of which some bytes have arrived.
  static constexpr Millis FrameTimeout{300};
  static constexpr Millis SilenceTimeout{600};
  /// Bytes that one fillNow() reads, about: a target may send without end.
  static constexpr std::size_t FillBytes = 256 << 10;

  EntryBoard *Board;
  NodeId Node;
  std::unique_ptr<FrameSocket> Link;
  std::string Buffer;
  TimePoint LastFrameAt = SystemClock{}.now();
  bool TargetEnded = false;
  /// How the target ended the connection.
  std::optional<IoStatus> Ended;
};

} // namespace waycove
