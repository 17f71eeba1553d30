// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/errors.h"
#include "board/entry_board.h"
#include "entry/caller_protocol.h"

#include <Poco/Net/HTTPRequest.h>

namespace waycove {

/// One caller's request on its way through this node.
struct RelayRequest {
  Poco::Net::HTTPRequest Head;
  std::string Body;
  CallerRequestInfo Info;
  TimePoint ArrivedAt;
  TimePoint Deadline;
  /// The configuration under which it was admitted last; keeps Route alive.
  RoutingConfigRef Config;
  const HttpRoute *Route = nullptr;
  /// Empty on public routes without key.
  WorkspaceId Workspace;
  /// To whom its key belongs; null on public routes. Config keeps it alive.
  const KeyOwner *Owner = nullptr;
  ServiceId Service;
  /// The same for each attempt of its caller, at any node.
  ContentHash Content;
  /// Chosen once, so that a new look at the configuration changes nothing
  /// that it need not.
  std::uint64_t Random = 0;
};

/// The state of the registry that a target was chosen by.
struct RegistrySnapshot {
  /// End of its records; the same on all nodes.
  StorePosition Position;
  /// Since when that may have changed without this node's knowing.
  Millis Age{0};
};

/// How a request's sends went so far.
struct RelayProgress {
  /// Targets that it was offered to.
  std::vector<VmId> Tried;
  /// Sends that reached, or may have reached, a target.
  unsigned SentCount = 0;
  /// Of these, how many may have begun to run.
  unsigned MayHaveRun = 0;
  /// Of the newest choice; nothing before the first.
  std::optional<RegistrySnapshot> Snapshot;
  /// Last event that the caller was given.
  std::optional<std::uint64_t> LastEvent;
  /// From the request's arrival to the first byte of an answer.
  std::optional<Millis> FirstByte;
  /// A target's own failure, to be given where no other target does better.
  std::optional<Poco::Net::HTTPResponse> Failure;
  std::string FailureBody;
  std::string Reason;
};

/// What \p Request, which was admitted, asks for and who asks. A workspace's
/// keys change; where none is known the key itself stands for the caller.
ContentHash contentOf(const RelayRequest &Request);

/// Looks the request up in the present configuration: route, key, deadline.
/// What it finds holds for all sends of the request: what is taken away later
/// concerns requests that come later. Errors: NotReady, NotFound,
/// Unauthenticated.
absl::Status admitRequest(const EntryBoard &Board, RelayRequest &Request,
                          TimePoint Now);

/// When a caller that was refused should come back.
Millis comeBackAfter(const RelayRequest &Request);

} // namespace waycove
