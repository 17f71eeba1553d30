// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/neighbour_channel.h"

#include <variant>

namespace waycove {

/// A connection to a target, direct or through another node. To be used by one
/// thread at a time.
class TargetConnection {
public:
  explicit TargetConnection(Channel Direct) : Way(std::move(Direct)) {}
  explicit TargetConnection(NeighbourChannel Through)
      : Way(std::move(Through)) {}

  IoStatus send(std::string_view Bytes, TimePoint Until) {
    if (auto *Direct = std::get_if<Channel>(&this->Way))
      return Direct->send(Bytes, Until);
    return std::get<NeighbourChannel>(this->Way).send(Bytes, Until);
  }
  /// Reads what has arrived, and over another node the rest of a frame that
  /// arrives by \p Until.
  IoStatus fillNow(TimePoint Until) {
    if (auto *Direct = std::get_if<Channel>(&this->Way))
      return Direct->fillNow();
    return std::get<NeighbourChannel>(this->Way).fillNow(Until);
  }
  /// Whether bytes can be read that a wait on the descriptor would not show.
  bool hasInput() const {
    const NeighbourChannel *Through = this->through();
    return Through && Through->hasInput();
  }
  /// Closes with a reset, which discards bytes that were not delivered.
  void abort() {
    std::visit([](auto &Any) { Any.abort(); }, this->Way);
  }
  std::string &buffer() {
    return std::visit([](auto &Any) -> std::string & { return Any.buffer(); },
                      this->Way);
  }
  int descriptor() const {
    return std::visit([](const auto &Any) { return Any.descriptor(); },
                      this->Way);
  }
  /// The direct connection; null if it leads through another node.
  Channel *direct() { return std::get_if<Channel>(&this->Way); }
  bool isDirect() const { return std::holds_alternative<Channel>(this->Way); }
  /// The connection through another node; null if it is direct.
  const NeighbourChannel *through() const {
    return std::get_if<NeighbourChannel>(&this->Way);
  }

private:
  std::variant<Channel, NeighbourChannel> Way;
};

} // namespace waycove
