// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/target_connector.h"

#include <algorithm>
#include <thread>

namespace waycove {

ConnectOutcome TargetConnector::connect(const RelayExchange &Ex,
                                        RelayAttempt &Attempt) {
  bool HasSearched = this->Board.ReachState != TargetReach::State::Sound;
  if (HasSearched) {
    ConnectOutcome Found = this->connectThroughNode(Ex, Attempt);
    bool MayStillRespond = this->Board.Reach.read([](const TargetReach &Known) {
      return Known.mayStillRespond(SystemClock{}.now());
    });
    // A started response has time to wait for its links, but few attempts.
    if (Found != ConnectOutcome::NoWay || !MayStillRespond ||
        Ex.Response.hasStarted())
      return Found;
  }
  if (ConnectOutcome Found = this->connectDirectly(Ex, Attempt);
      Found != ConnectOutcome::NoTarget)
    return Found;
  if (HasSearched || this->Board.ReachState == TargetReach::State::Sound)
    return ConnectOutcome::NoTarget;
  ConnectOutcome Found = this->connectThroughNode(Ex, Attempt);
  // Before it is certain that this node is cut off, another target may do.
  return Found == ConnectOutcome::NoWay && !this->Board.isCutOff()
             ? ConnectOutcome::NoTarget
             : Found;
}

ConnectOutcome TargetConnector::connectDirectly(const RelayExchange &Ex,
                                                RelayAttempt &Attempt) {
  TimePoint Now = SystemClock{}.now();
  Attempt.Reason.clear();
  Attempt.OpenedSince = Now;
  const VmIncarnation Target = Attempt.target();
  bool MayRepeat = Ex.Request.Route->mayRepeat();
  // The target may be closing an idle connection at this moment. A request
  // that must not be repeated therefore gets a new connection.
  if (MayRepeat)
    if (auto Idle = this->Pool.take(Target, Now)) {
      Attempt.Connection.emplace(std::move(*Idle));
      return ConnectOutcome::Connected;
    }
  std::optional<Channel> Opened;
  IoStatus Status = this->open(Ex, Attempt, Opened);
  if (Status == IoStatus::Exhausted) {
    Attempt.Reason = "this node has no descriptor for a connection";
    return ConnectOutcome::Exhausted;
  }
  if (Status != IoStatus::Ok) {
    Attempt.Reason = Status == IoStatus::Timeout ? "no connection in time"
                                                 : "connection refused";
    this->Monitor.onNoConnection(Target);
    return ConnectOutcome::NoTarget;
  }
  this->Monitor.onConnected();
  if (MayRepeat)
    Opened->setAckTimeout(AckTimeout);
  Attempt.Connection.emplace(std::move(*Opened));
  return ConnectOutcome::Connected;
}

IoStatus TargetConnector::open(const RelayExchange &Ex, RelayAttempt &Attempt,
                               std::optional<Channel> &Out) {
  TimePoint Begin = SystemClock{}.now();
  TimePoint Until = std::min(Ex.Request.Deadline, Begin + MaxDescriptorWait);
  while (true) {
    TimePoint Now = SystemClock{}.now();
    Attempt.OpenedSince = Now;
    IoStatus Status = Channel::connect(
        Attempt.to().Target->Address,
        std::min(Ex.Request.Deadline, Now + ConnectTimeout), Out);
    if (Status != IoStatus::Exhausted || Now + DescriptorRetryDelay >= Until)
      return Status;
    // Connections at rest are needed least.
    this->Pool.closeIdle();
    std::this_thread::sleep_for(DescriptorRetryDelay);
  }
}

/// Asks other nodes in turn until one has a connection to the target or says
/// that the target cannot be reached.
ConnectOutcome TargetConnector::connectThroughNode(const RelayExchange &Ex,
                                                   RelayAttempt &Attempt) {
  TimePoint Begin = SystemClock{}.now();
  TimePoint Until = std::min(Ex.Request.Deadline, Begin + SearchTimeout);
  bool WasDeclined = false;
  for (const NodeInfo &Node : this->Carriers.carriers(Ex.Request, Begin)) {
    TimePoint Now = SystemClock{}.now();
    if (Now >= Until)
      break;
    WayRequest Wanted{
        Attempt.target(), Ex.Request.Info.Id,
        std::chrono::duration_cast<Millis>(Ex.Request.Deadline - Now),
        Ex.Request.Route->mayRepeat()};
    Attempt.OpenedSince = Now;
    std::optional<WayStatus> Status =
        this->ask(Node, Wanted, Ex.Request.Deadline, Attempt);
    this->recordWay(Node, Status, Ex.Request.Info.Id);
    if (Status == WayStatus::Open)
      return ConnectOutcome::Connected;
    if (Status == WayStatus::NoTarget) {
      Attempt.Reason = "no connection through " + Node.Node.Text;
      return ConnectOutcome::NoTarget;
    }
    WasDeclined |= Status == WayStatus::Declined;
  }
  if (WasDeclined) {
    Attempt.Reason = "the target takes no request through other nodes";
    return ConnectOutcome::Declined;
  }
  Attempt.Reason = "this node reaches no target, and no other node has a way";
  if (this->Board.isCutOff())
    this->Board.NoWayLease.renew(SystemClock{}.now(), NoWayDuration);
  return ConnectOutcome::NoWay;
}

std::optional<WayStatus> TargetConnector::ask(const NodeInfo &Node,
                                              const WayRequest &Wanted,
                                              TimePoint Until,
                                              RelayAttempt &Attempt) {
  std::optional<WayResponse> Response =
      askForWay(this->Board, Node, Wanted, Until);
  if (!Response)
    return std::nullopt;
  if (Response->Status == WayStatus::Open) {
    Attempt.Connection.emplace(
        NeighbourChannel(this->Board, Node.Node, std::move(Response->Link)));
    this->Monitor.onWay();
  }
  return Response->Status;
}

void TargetConnector::recordWay(const NodeInfo &Node,
                                std::optional<WayStatus> Status,
                                const RequestId &Cause) {
  TimePoint Now = SystemClock{}.now();
  bool HasWay = Status && *Status != WayStatus::NoWay;
  this->Board.Ways.write([&](WaySelector &Known) {
    if (HasWay)
      Known.onWay(Node);
    else if (Status)
      Known.onNoWay(Node, Now);
    else
      Known.onUnreachable(Node.Node, Now);
  });
  if (HasWay)
    return this->Board.NoWayLease.drop();
  this->Board.Log.emit(
      EventCode::NeighbourUnusable, Node.Node.Text,
      LogFields()
          .add("request", Cause.Text)
          .add("reason", Status ? "it offers no way" : "it does not respond"));
}

} // namespace waycove
