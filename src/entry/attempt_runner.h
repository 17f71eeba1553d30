// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/response_forwarder.h"
#include "entry/target_connector.h"
#include "entry/target_selector.h"
#include "policy/urgency.h"

namespace waycove {

/// Makes single attempts of requests at selected targets: connects, sends the
/// request, has the response forwarded, and records what the attempt shows of
/// the target. Thread-safe.
template <CallerProtocol Protocol> class AttemptRunner {
public:
  AttemptRunner(EntryBoard &Board, RelayLog &Log, TargetSelector &Selector,
                CrashGuard &Crashes, TargetConnector &Connector,
                AttemptRecorder &Attempts,
                ResponseForwarder<Protocol> &Forwarder)
      : Board(Board), Log(Log), Selector(Selector), Crashes(Crashes),
        Connector(Connector), Attempts(Attempts), Forwarder(Forwarder) {}

  /// Sends the request to the selected target, or goes on with an attempt that
  /// was silent, and forwards the response. Returns how the attempt ends; if
  /// Silent, it has not ended.
  AttemptOutcome run(RelayExchange &Ex, RelayAttempt &Attempt) {
    AttemptOutcome End = AttemptOutcome::NotSent;
    if (Attempt.SentAt != TimePoint())
      End = this->Forwarder.forward(Ex, Attempt);
    else if (this->connect(Ex, Attempt) && this->confirm(Ex, Attempt))
      End = this->send(Ex, Attempt);
    else if (Ex.Caller.isClosedByPeer())
      End = this->callerLeft(Attempt);
    if (Attempt.SentAt == TimePoint())
      this->Attempts.endUnsent(Ex, Attempt);
    else if (End != AttemptOutcome::Silent)
      this->Attempts.end(Ex, Attempt, End);
    Ex.Progress.Reason = Attempt.Reason;
    return End;
  }

private:
  /// A target selection that is older is renewed before the request is sent,
  /// and made again if the connection was being opened for longer.
  static constexpr Millis MaxSelectionAge{250};
  /// An unreachable target is avoided for about as long as the registry needs
  /// to remove it.
  static constexpr Millis UnreachableDuration{3000};

  static AttemptOutcome callerLeft(RelayAttempt &Attempt) {
    Attempt.Reason = "the caller left before it was sent";
    return AttemptOutcome::CallerGone;
  }

  /// Opens a connection to the target. Returns false if there is none.
  bool connect(RelayExchange &Ex, RelayAttempt &Attempt) {
    Ex.Progress.Tried.push_back(Attempt.to().Target->Id);
    ConnectOutcome Connection = this->Connector.connect(Ex, Attempt);
    Ex.Progress.HasNoWay = Connection == ConnectOutcome::NoWay;
    // That says nothing about the target, which may be tried again.
    if (Connection == ConnectOutcome::Exhausted)
      Ex.Progress.Tried.pop_back();
    if (Connection == ConnectOutcome::NoTarget)
      this->Log.suspectTarget(Attempt.target(), UnreachableDuration,
                              Attempt.Reason, Ex.Request.Info.Id);
    return Connection == ConnectOutcome::Connected;
  }

  /// Returns whether the request may still be sent; if not, another target is
  /// selected, which may be the same one.
  bool confirm(RelayExchange &Ex, RelayAttempt &Attempt) {
    TimePoint Now = SystemClock{}.now();
    Attempt.Reason = this->reasonNotToSend(Ex, Attempt, Now);
    if (Attempt.Reason.empty()) {
      Attempt.SentAt = Now;
      return true;
    }
    Ex.Progress.Tried.pop_back();
    return false;
  }

  /// Why the request must not be sent over the open connection: the target may
  /// have left, or asked for fewer requests, since it was selected. Empty if
  /// the request may be sent.
  std::string reasonNotToSend(const RelayExchange &Ex, RelayAttempt &Attempt,
                              TimePoint Now) {
    auto SelectionAge = std::chrono::ceil<Millis>(Now - Attempt.SelectedAt);
    if (Now >= Ex.Request.Deadline)
      return "the deadline passed before it was sent";
    // The search for a way takes longer than a target may work in vain.
    if (Ex.Caller.isClosedByPeer())
      return "the caller left before it was sent";
    if (Now - Attempt.OpenedSince > MaxSelectionAge)
      return "this machine stood still";
    // The search for a way passes the bound where a frozen node is asked first,
    // which costs 250 ms. The way is kept if the target may still be sent to:
    // searching again would delay the request once more.
    if (SelectionAge > MaxSelectionAge &&
        !this->renew(Ex, Attempt.Selected, Now))
      return "the target was selected too long ago";
    if (!this->Selector.confirm(Ex.Request, Attempt.Selected, Now))
      return "the target takes no request by now";
    return "";
  }

  /// Checks again what Relay checked when it selected the target.
  bool renew(const RelayExchange &Ex, SelectedTarget &Selected, TimePoint Now) {
    if (Now >= Ex.Request.Deadline || !this->Crashes.maySend(Ex.Request, Now) ||
        !this->Selector.renew(Ex.Request, Selected, Now))
      return false;
    Ex.Progress.Snapshot = Selected.Snapshot;
    return true;
  }

  /// Sends the request over the open connection and forwards the response.
  AttemptOutcome send(RelayExchange &Ex, RelayAttempt &Attempt) {
    this->Attempts.start(Ex, Attempt);
    std::string Bytes = serializeRequest(Ex, Attempt);
    ++Ex.Progress.SentCount;
    this->Board.Counters.add(Counter::Attempts);
    if (Ex.Progress.SentCount == 1)
      this->Board.Counters.add(Counter::FirstAttempts);
    if (Attempt.Retry)
      Attempt.Retry->use();
    IoStatus Sent = Attempt.Connection->send(Bytes, Ex.Request.Deadline);
    if (Sent != IoStatus::Ok) {
      Attempt.ConnectionLost =
          Sent == IoStatus::Broken && Attempt.carrier().empty();
      Attempt.Reason = "the connection broke while sending";
      return AttemptOutcome::Broken;
    }
    return this->Forwarder.forward(Ex, Attempt);
  }

  /// The bytes of the request as this attempt sends it to its target.
  static std::string serializeRequest(const RelayExchange &Ex,
                                      const RelayAttempt &Attempt) {
    const RelayRequest &Request = Ex.Request;
    Millis Waited = Request.PriorWait + std::chrono::duration_cast<Millis>(
                                            Attempt.SentAt - Request.ArrivedAt);
    AttemptParams Params{
        Attempt.to().Target->Id, Request.Workspace,
        std::chrono::duration_cast<Millis>(Request.Deadline - Attempt.SentAt),
        urgencyOf(*Request.Route, Request.Owner, Waited),
        Ex.Progress.LastEvent};
    Poco::Net::HTTPRequest Head =
        Protocol::makeTargetRequest(Request.Head, Params);
    if (!Request.Body.Bytes.empty() || Request.Head.hasContentLength() ||
        Request.Head.getChunkedTransferEncoding())
      Head.setContentLength64(
          static_cast<Poco::Int64>(Request.Body.Bytes.size()));
    std::ostringstream Out;
    Head.write(Out);
    return Out.str() + Request.Body.Bytes;
  }

  EntryBoard &Board;
  RelayLog &Log;
  TargetSelector &Selector;
  CrashGuard &Crashes;
  TargetConnector &Connector;
  AttemptRecorder &Attempts;
  ResponseForwarder<Protocol> &Forwarder;
};

} // namespace waycove
