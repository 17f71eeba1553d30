// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/reach_monitor.h"
#include "control/standstill_monitor.h"
#include "entry/neighbour_channel.h"
#include "entry/relay_log.h"
#include "net/head.h"

#include <algorithm>
#include <atomic>

namespace waycove {

/// Carries requests to targets for other nodes that have lost their own links.
/// The other node has admitted the request, chosen the target and counts the
/// attempt against the limits; this one opens the connection and forwards the
/// bytes. It never passes a request on to a third node. Thread-safe.
template <CallerProtocol Protocol> class Carrier {
public:
  explicit Carrier(EntryBoard &Board)
      : Board(Board), Log(Board), Monitor(Board), Standstills(Board) {}

  /// Serves a request for a way to a target that came over \p Peer, which is
  /// of no use afterwards.
  void serve(FrameSocket &Peer, const wire::ForwardT &Request) {
    Hold Counted(this->Board.InFlight, this->Carried);
    Way Found;
    Found.Request = RequestId(Request.request);
    Found.MayRepeat = Request.repeatable;
    Found.Until = SystemClock{}.now() +
                  Millis(std::min(Request.deadline_ms, MaxRemainingMs)) +
                  EndGrace;
    WayStatus Status = this->open(Request, Found);
    if (this->sendHead(Peer, Status) && Status == WayStatus::Open)
      this->carry(Peer, Found);
  }

private:
  /// Requests that are carried at a time, so that those of this node's own
  /// callers find threads and connections.
  static constexpr unsigned MaxCarried = 128;
  static constexpr Millis ConnectTimeout{100};
  static constexpr Millis AckTimeout{300};
  /// The other node sends the request at once after the way is open.
  static constexpr Millis RequestTimeout{1000};
  /// Upper bound on what the other node tells.
  static constexpr std::uint64_t MaxRemainingMs = 600'000;
  /// The other node ends the request at its deadline.
  static constexpr Millis EndGrace{500};
  /// Silence of a target after which the way to it counts as lost, while this
  /// node reaches no target either.
  static constexpr Millis CutOffSilence{500};

  /// Counts a request that is carried.
  class Hold {
  public:
    Hold(std::atomic<std::uint32_t> &InFlight, std::atomic<unsigned> &Carried)
        : InFlight(InFlight), Carried(Carried) {
      ++this->InFlight;
      ++this->Carried;
    }
    ~Hold() {
      --this->InFlight;
      --this->Carried;
    }
    Hold(const Hold &) = delete;
    Hold &operator=(const Hold &) = delete;

  private:
    std::atomic<std::uint32_t> &InFlight;
    std::atomic<unsigned> &Carried;
  };

  /// A connection to a target for another node.
  struct Way {
    RequestId Request;
    VmIncarnation Target;
    VmAddress Address;
    bool MayRepeat = false;
    TimePoint Until;
    TimePoint SentAt;
    TimePoint LastByte;
    std::optional<Channel> Connection;
    /// What has arrived of the response's head; unset once it was read.
    std::optional<std::string> Head = "";
    ResponseHeadReader Heads;
  };

  WayStatus open(const wire::ForwardT &Request, Way &Found) {
    bool OffersNone = this->Board.Stopping || this->Carried > MaxCarried ||
                      this->Board.ReachState != TargetReach::State::Sound;
    if (OffersNone)
      return WayStatus::NoWay;
    TargetRef Target = this->findServing(
        {VmId(Request.target), WallMs(Request.target_started_ms)});
    if (!Target)
      return WayStatus::Declined;
    Found.Target = Target->incarnation();
    Found.Address = Target->Address;
    TimePoint Now = SystemClock{}.now();
    if (this->isPaused(Found.Target, Now))
      return WayStatus::Declined;
    IoStatus Status = Channel::connect(Target->Address, Now + ConnectTimeout,
                                       Found.Connection);
    if (Status == IoStatus::Ok) {
      this->Monitor.onConnected();
      if (Found.MayRepeat)
        Found.Connection->setAckTimeout(AckTimeout);
      return WayStatus::Open;
    }
    if (Status == IoStatus::Exhausted)
      return WayStatus::NoWay;
    this->Monitor.onNoConnection(Found.Target);
    return this->Board.ReachState == TargetReach::State::Sound
               ? WayStatus::NoTarget
               : WayStatus::NoWay;
  }

  /// The target if this node may send requests there, else null.
  TargetRef findServing(const VmIncarnation &Wanted) const {
    ServingViewRef View =
        this->Board.Serving.read([](const ServingViewRef &Row) { return Row; });
    for (const auto &[Service, Targets] : View->ByService)
      for (const ServingTarget &To : Targets)
        if (To.Target->incarnation() == Wanted)
          return To.Target;
    return nullptr;
  }

  bool isPaused(const VmIncarnation &Target, TimePoint Now) const {
    return this->Board.TargetPauses.read(
        [&](const StatedPauses &Known) { return Known.of(Target, Now).any(); });
  }

  void carry(FrameSocket &Peer, Way &To) {
    absl::StatusOr<wire::FrameT> Frame = Peer.receive(RequestTimeout);
    const auto *Data = Frame.ok() ? Frame->message.AsForwardData() : nullptr;
    if (!Data)
      return;
    To.SentAt = SystemClock{}.now();
    // The target may have left, or asked for rest, since.
    if (!this->findServing(To.Target) || this->isPaused(To.Target, To.SentAt))
      return;
    To.LastByte = To.SentAt;
    this->Board.Counters.add(Counter::Forwards);
    std::string_view Bytes(reinterpret_cast<const char *>(Data->data.data()),
                           Data->data.size());
    bool Whole = To.Connection->send(Bytes, To.Until) == IoStatus::Ok &&
                 this->forwardResponse(Peer, To);
    // Bytes that were not delivered must not reach the target later.
    To.Connection->abort();
    this->Board.Log.emit(
        EventCode::RequestCarried, To.Request.Text,
        LogFields()
            .add("target", To.Target.Id.Text)
            .add("whole", Whole)
            .add("after_ms", std::chrono::duration_cast<Millis>(
                                 SystemClock{}.now() - To.SentAt)));
  }

  /// Forwards what the target sends until one of both sides ends. Returns
  /// whether the other node had all that it wanted.
  bool forwardResponse(FrameSocket &Peer, Way &From) {
    while (true) {
      Side Readable =
          waitEither(From.Connection->descriptor(), Peer.descriptor(),
                     SystemClock{}.now() + NeighbourChannel::AliveInterval);
      TimePoint Now = SystemClock{}.now();
      // The other node has the whole response, or its caller left.
      if (Readable == Side::Caller)
        return true;
      this->Standstills.onRunning(Now);
      bool IsLost = Readable == Side::Neither && this->isLost(From, Now);
      // A ForwardEnd would tell that the target has ended the connection.
      if (IsLost || Now >= From.Until)
        return false;
      std::string &Bytes = From.Connection->buffer();
      if (Readable == Side::Target) {
        IoStatus Status = From.Connection->fillNow();
        if (Status == IoStatus::Closed || Status == IoStatus::Broken)
          return this->hasTargetEnded(From, Status) &&
                 this->sendEnd(Peer, Status == IoStatus::Closed);
        From.LastByte = Now;
        this->readHead(From, Bytes);
      }
      // Without bytes of the target, shows that this node is alive.
      if (!this->sendData(Peer, Bytes))
        return false;
      Bytes.clear();
    }
  }

  /// Whether the target has ended a connection that ended with \p Status, and
  /// not this node's link to it. After a reset, only a target that refuses
  /// another connection has.
  bool hasTargetEnded(const Way &From, IoStatus Status) {
    if (Status == IoStatus::Closed)
      return true;
    std::optional<Channel> Other;
    IoStatus Again = Channel::connect(
        From.Address, SystemClock{}.now() + ConnectTimeout, Other);
    if (Again != IoStatus::Broken && Again != IoStatus::Timeout)
      return false;
    this->Monitor.onNoConnection(From.Target);
    return Again == IoStatus::Broken &&
           this->Board.ReachState == TargetReach::State::Sound;
  }

  bool isLost(const Way &From, TimePoint Now) const {
    return this->Board.isCutOff() &&
           this->Board.runningTime(From.LastByte, Now) >= CutOffSilence;
  }

  /// Applies what the target states in its response: it counts for this node,
  /// from which the target got the request.
  void readHead(Way &From, const std::string &Bytes) {
    if (!From.Head)
      return;
    *From.Head += Bytes;
    std::optional<Poco::Net::HTTPResponse> Head;
    if (From.Heads.take(*From.Head, Head) ==
        ResponseHeadReader::Result::Incomplete)
      return;
    From.Head.reset();
    if (!Head)
      return;
    this->Monitor.onContact();
    if (auto Info = Protocol::readResponseInfo(*Head);
        Info.Statement && Info.Id == From.Request)
      this->Log.recordStatement({From.Target, From.SentAt, From.Request},
                                *Info.Statement);
  }

  bool sendHead(FrameSocket &Peer, WayStatus Status) {
    wire::ForwardHeadT Head;
    Head.status = static_cast<std::uint16_t>(Status);
    return this->send(Peer, std::move(Head));
  }
  bool sendData(FrameSocket &Peer, const std::string &Bytes) {
    return Peer.sendData(this->Board.Clock.tick(SystemClock{}.wall()), Bytes);
  }
  /// Returns \p Whole.
  bool sendEnd(FrameSocket &Peer, bool Whole) {
    wire::ForwardEndT End;
    End.whole = Whole;
    this->send(Peer, std::move(End));
    return Whole;
  }
  template <typename T> bool send(FrameSocket &Peer, T Message) {
    return Peer.send(makeFrame(this->Board.Clock.tick(SystemClock{}.wall()),
                               std::move(Message)));
  }

  EntryBoard &Board;
  RelayLog Log;
  ReachMonitor Monitor;
  StandstillMonitor Standstills;
  std::atomic<unsigned> Carried{0};
};

} // namespace waycove
