// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/errors.h"
#include "board/entry_board.h"
#include "entry/buffer_budget.h"
#include "entry/caller_protocol.h"
#include "policy/attempt_pacer.h"
#include "policy/attempt_rules.h"
#include "policy/crash_suspect.h"

#include <Poco/Net/HTTPRequest.h>
#include <memory>

namespace waycove {

/// A caller's request and what admission found out about it.
struct RelayRequest {
  Poco::Net::HTTPRequest Head;
  BufferedBody Body;
  /// The body was dropped because the node's buffers were full.
  bool HasNoRoom = false;
  CallerRequestInfo Info;
  /// When bytes of it could be read, from which its timeout counts, and when a
  /// thread began to read them.
  TimePoint ArrivedAt;
  TimePoint ReadAt;
  TimePoint Deadline;
  /// The configuration under which it was admitted. Owns Route and Owner.
  RoutingConfigRef Config;
  const HttpRoute *Route = nullptr;
  /// Empty on public routes and where no workspaces are configured.
  WorkspaceId Workspace;
  /// Owner of the API key; null if Workspace is empty.
  const KeyOwner *Owner = nullptr;
  ServiceId Service;
  /// The same whenever the caller sends the request again, at any node.
  ContentHash Content;
  /// What a target that runs it may crash under.
  CrashSuspects Suspects;
  /// How long the caller had waited when the request arrived.
  Millis PriorWait{0};
  /// How long it waited until a thread read it.
  Millis unreadTime() const {
    return std::chrono::duration_cast<Millis>(this->ReadAt - this->ArrivedAt);
  }
  /// Random bits of this request, for all random decisions about it.
  std::uint64_t Random = 0;
};

/// The state of the registry by which a target was selected.
struct RegistrySnapshot {
  /// End of the applied records; comparable between nodes.
  StorePosition Position;
  /// Time since this node last knew all changes of the registry.
  Millis Age{0};
};

/// A target that ended a response before it was whole.
struct LostTarget {
  VmIncarnation Target;
  TimePoint At;
  /// It had announced that it leaves.
  bool IsLeaving = false;
  /// It has ended since, and not by the request as far as is known.
  bool IsExcused = false;
};

/// What the attempts for a request have led to so far.
struct RelayProgress {
  /// Targets to which an attempt was made.
  std::vector<VmId> Tried;
  /// Attempts that reached, or may have reached, a target.
  unsigned SentCount = 0;
  /// Of these, how many may have started to run there.
  unsigned MayHaveRun = 0;
  /// This node has lost its links to targets, and no other node offers a way.
  bool HasNoWay = false;
  /// When further attempts may be made.
  AttemptPacer Pacer;
  /// Attempts that were silent and given up for one that responded.
  unsigned GivenUp = 0;
  /// Targets whose connections ended attempts of its started response.
  std::vector<LostTarget> Lost;
  /// Its started response has waited for a target, a retry or a way.
  bool HasWaited = false;
  /// Of the latest target selection.
  std::optional<RegistrySnapshot> Snapshot;
  /// Last event that was sent to the caller.
  std::optional<std::uint64_t> LastEvent;
  /// From the request's arrival to the first byte of a response.
  std::optional<Millis> FirstByte;
  /// A target's error response, which the caller gets if no other target
  /// succeeds.
  std::optional<Poco::Net::HTTPResponse> Failure;
  std::shared_ptr<const BufferedBody> FailureBody;
  std::string Reason;
  /// The response ends because the caller does not read it.
  bool CallerIsSlow = false;
  /// Set if the request got no place in its pool.
  std::optional<AdmissionRefusal> Refusal;
  /// Time that it waited at this node for places.
  Millis Queued{0};
  /// How often it was queued again after a target rejected it.
  unsigned RequeueCount = 0;

  AttemptCounts counts() const {
    return {this->Tried.size(), this->SentCount, this->MayHaveRun};
  }
};

/// The pool of targets that may serve an admitted request.
PoolKey poolOf(const RelayRequest &Request);

/// Hash of the content of an admitted request and of its caller. The caller is
/// the workspace, whose keys may change, or else the API key.
ContentHash contentHashOf(const RelayRequest &Request);

/// When the body of a request of which the head has arrived has to be there: at
/// its deadline by the current configuration.
TimePoint bodyDeadline(const EntryBoard &Board, const RelayRequest &Request);

/// Sets the request's route, workspace, service and deadline by the current
/// configuration. They hold for all attempts; later changes of the
/// configuration only affect later requests. Errors: NotReady, NotFound,
/// Unauthenticated.
absl::Status admitRequest(const EntryBoard &Board, RelayRequest &Request,
                          TimePoint Now);

/// Counts an admitted request in the demand for its model, if it has one.
void recordDemand(EntryBoard &Board, const CallerRequestInfo &Info);

/// After how long a refused caller should try again.
Millis suggestRetryAfter(const RelayRequest &Request);

} // namespace waycove
