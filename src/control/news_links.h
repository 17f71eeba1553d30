// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"
#include "wire/frame.h"

#include <map>
#include <memory>

namespace waycove {

/// This node's connections to the nodes that it asks for news, one each, kept
/// open between questions. Used by one thread.
class NewsLinks {
public:
  explicit NewsLinks(EntryBoard &Board) : Board(Board) {}

  /// Asks \p Asked and waits for its answer. Errors: whatever kept it from
  /// coming; BadRequest where the answer is no news.
  absl::StatusOr<wire::NewsT> ask(const NodeInfo &Asked,
                                  wire::NewsWantedT Question);
  /// Closes the connection to \p Node: each holds a thread there.
  void close(const NodeId &Node) { this->Links.erase(Node); }

private:
  struct Link {
    std::string Host;
    std::uint16_t Port = 0;
    std::unique_ptr<FrameSocket> Socket;
  };
  static absl::StatusOr<wire::NewsT> tryOn(Link &Over,
                                           const wire::FrameT &Question);

  EntryBoard &Board;
  std::map<NodeId, Link> Links;
};

} // namespace waycove
