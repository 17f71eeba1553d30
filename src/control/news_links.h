// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"
#include "wire/frame.h"

#include <map>
#include <memory>

namespace waycove {

/// Connections to the nodes that this node queries, one each, kept open between
/// requests. Used by one thread.
class NewsLinks {
public:
  explicit NewsLinks(EntryBoard &Board) : Board(Board) {}

  /// Sends \p Request to \p Source and waits for its response. Errors: those of
  /// the connection; BadRequest if the response is of another type.
  absl::StatusOr<wire::NewsT> query(const NodeInfo &Source,
                                    wire::NewsWantedT Request);
  /// Asks the seed at \p Seed to join, over a connection of its own. Errors as
  /// query().
  absl::StatusOr<wire::JoinAnswerT> join(const Endpoint &Seed,
                                         wire::JoinT Request,
                                         Millis ConnectTimeout,
                                         Millis ResponseTimeout);
  /// Closes the connection to \p Node, which holds a thread there.
  void close(const NodeId &Node) { this->Links.erase(Node); }

private:
  struct Link {
    std::string Host;
    std::uint16_t Port = 0;
    std::unique_ptr<FrameSocket> Socket;
  };
  static absl::StatusOr<wire::NewsT> sendOver(Link &Connection,
                                              const wire::FrameT &Request);

  EntryBoard &Board;
  std::map<NodeId, Link> Links;
};

} // namespace waycove
