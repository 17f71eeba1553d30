// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/crash_guard.h"
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
                ResponseForwarder<Protocol> &Forwarder)
      : Board(Board), Log(Log), Selector(Selector), Crashes(Crashes),
        Connector(Connector), Forwarder(Forwarder), Monitor(Board) {}

  /// Sends the request to \p Selected, which was selected at \p SelectedAt, and
  /// forwards the response. Returns how the attempt ends.
  AttemptOutcome run(RelayExchange &Ex, SelectedTarget &Selected,
                     TimePoint SelectedAt) {
    RelayAttempt Attempt;
    Attempt.To = Selected.To;
    Ex.Progress.Tried.push_back(Selected.To.Target->Id);
    if (!this->connect(Ex, Attempt) ||
        !this->confirm(Ex, Attempt, Selected, SelectedAt))
      return this->endAttempt(Ex, Attempt, AttemptOutcome::NotSent);
    this->recordStart(Ex, Attempt);
    AttemptOutcome End = this->exchange(Ex, Attempt);
    this->recordEnd(Ex, Attempt, End);
    // Bytes that were not delivered must not reach the target later, when it
    // may have left the registry. Only a reset discards them.
    if (End != AttemptOutcome::Done && Attempt.Connection)
      Attempt.Connection->abort();
    return this->endAttempt(Ex, Attempt, End);
  }

private:
  /// A target selection that is older is renewed before the request is sent,
  /// and made again if the connection was being opened for longer.
  static constexpr Millis MaxSelectionAge{250};
  /// An unreachable target is avoided for about as long as the registry needs
  /// to remove it.
  static constexpr Millis UnreachableDuration{3000};

  /// Opens a connection to the target. Returns false if there is none.
  bool connect(RelayExchange &Ex, RelayAttempt &Attempt) {
    ConnectOutcome Connection = this->Connector.connect(Ex, Attempt);
    Ex.Progress.HasNoWay = Connection == ConnectOutcome::NoWay;
    if (Connection == ConnectOutcome::NoTarget)
      this->Log.suspectTarget(Attempt.To.Target->incarnation(),
                              UnreachableDuration, Attempt.Reason,
                              Ex.Request.Info.Id);
    return Connection == ConnectOutcome::Connected;
  }

  /// Returns whether the request may still be sent; if not, another target is
  /// selected, which may be the same one.
  bool confirm(RelayExchange &Ex, RelayAttempt &Attempt,
               SelectedTarget &Selected, TimePoint SelectedAt) {
    Attempt.SentAt = SystemClock{}.now();
    Attempt.Reason = this->reasonNotToSend(
        Ex, Attempt, Selected,
        std::chrono::ceil<Millis>(Attempt.SentAt - SelectedAt));
    if (Attempt.Reason.empty())
      return true;
    Ex.Progress.Tried.pop_back();
    return false;
  }

  void recordStart(const RelayExchange &Ex, RelayAttempt &Attempt) {
    Attempt.LastByte = Attempt.SentAt;
    this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
      Stats.onStart(Attempt.To.Target->incarnation(),
                    static_cast<double>(Ex.Request.Info.PromptTokens),
                    Attempt.SentAt);
    });
  }

  /// Records what the attempt has shown of the target and of the request.
  void recordEnd(const RelayExchange &Ex, const RelayAttempt &Attempt,
                 AttemptOutcome End) {
    const VmIncarnation Target = Attempt.To.Target->incarnation();
    this->recordReach(Attempt);
    this->Crashes.recordOutcome(Ex.Request, Attempt, End, SystemClock{}.now());
    this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
      Stats.onEnd(Target, Attempt.SentAt, Attempt.FirstByteSeen,
                  static_cast<double>(Ex.Request.Info.PromptTokens));
      if (End != AttemptOutcome::CallerGone)
        Stats.onOutcome(Target, End == AttemptOutcome::Broken,
                        SystemClock{}.now());
    });
  }

  /// Why the request must not be sent over the open connection: the target may
  /// have left, or asked for fewer requests, since it was selected. Empty if
  /// the request may be sent.
  std::string reasonNotToSend(const RelayExchange &Ex,
                              const RelayAttempt &Attempt,
                              SelectedTarget &Selected, Millis SelectionAge) {
    const TimePoint Now = Attempt.SentAt;
    if (Now >= Ex.Request.Deadline)
      return "the deadline passed before it was sent";
    if (Now - Attempt.OpenedSince > MaxSelectionAge)
      return "this machine stood still";
    // The search for a way passes the bound where a frozen node is asked first,
    // which costs 250 ms. The way is kept if the target may still be sent to:
    // searching again would delay the request once more.
    if (SelectionAge > MaxSelectionAge && !this->renew(Ex, Selected, Now))
      return "the target was selected too long ago";
    if (!this->Selector.confirm(Ex.Request, Selected, Now))
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

  /// Records an attempt that ended without any byte of the target. What a
  /// connection through another node shows is no evidence on this node's links.
  void recordReach(const RelayAttempt &Attempt) {
    bool IsDirect = Attempt.Connection && Attempt.Connection->isDirect();
    if (IsDirect && Attempt.ConnectionLost &&
        Attempt.LastByte == Attempt.SentAt)
      this->Monitor.onNoBytes(Attempt.To.Target->incarnation());
  }

  /// Sends the request over the open connection and forwards the response.
  AttemptOutcome exchange(RelayExchange &Ex, RelayAttempt &Attempt) {
    std::string Bytes = serializeRequest(Ex, Attempt);
    ++Ex.Progress.SentCount;
    this->Board.Counters.add(Counter::Attempts);
    if (Ex.Progress.SentCount == 1)
      this->Board.Counters.add(Counter::FirstAttempts);
    if (Attempt.Connection->send(Bytes, Ex.Request.Deadline) != IoStatus::Ok) {
      Attempt.ConnectionLost = true;
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
        Attempt.To.Target->Id, Request.Workspace,
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

  AttemptOutcome endAttempt(const RelayExchange &Ex,
                            const RelayAttempt &Attempt, AttemptOutcome End) {
    Ex.Progress.Reason = Attempt.Reason;
    if (End != AttemptOutcome::Done)
      this->Log.attemptEnded(Ex, Attempt, End);
    return End;
  }

  EntryBoard &Board;
  RelayLog &Log;
  TargetSelector &Selector;
  CrashGuard &Crashes;
  TargetConnector &Connector;
  ResponseForwarder<Protocol> &Forwarder;
  ReachMonitor Monitor;
};

} // namespace waycove
