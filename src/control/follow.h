// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/folder.h"
#include "control/log.h"
#include "policy/rendezvous.h"

#include <thread>

namespace waycove {

/// Records read from the log in one call.
constexpr std::size_t ReadBatch = 512;
constexpr Millis LongPoll(1000);
constexpr Millis UnreachablePause(200);
/// Data centres with more daemons than this leave the reading to their relays,
/// and the others learn records from their peers.
constexpr std::size_t EveryoneReadsUpTo = 9;
constexpr Millis FallbackRead(5000);

/// Reads the platform's log and folds it; loads a checkpoint where the log has
/// forgotten what comes next, and writes one now and then.
template <LogService Service> class Follower {
public:
  Follower(Board &Tables, Folder &Fold, Service &Platform)
      : Tables(Tables), Fold(Fold), Platform(Platform) {}

  /// One read and what follows from it. Returns how long to pause.
  Millis step() {
    // 1. Peers pass records on; only some need to ask the log.
    TimePoint Now = SystemClock{}.now();
    if (this->Tables.Ready && !this->readsLog(Now) &&
        Now - this->LastRead < FallbackRead)
      return Millis(50);
    this->LastRead = Now;
    // 2. Read.
    Offset From = this->Fold.next();
    absl::StatusOr<LogPage> Page =
        this->Platform.read(LogStream::Records, From, ReadBatch,
                            this->Tables.Ready ? LongPoll : Millis(0));
    this->noteReachable(Page.status());
    if (!Page.ok())
      return UnreachablePause;
    // 3. An answer older than the state is not taken.
    if (Page->Next < From) {
      this->Tables.Log.emit(EventCode::LogStale,
                            std::to_string(Page->Next.Value),
                            "folded " + std::to_string(From.Value));
      return UnreachablePause;
    }
    // 4. The log forgot what comes next: a checkpoint has it.
    if (Page->First > From || (From == Offset() && !this->TriedCheckpoint)) {
      this->TriedCheckpoint = true;
      if (!this->loadCheckpoint() && Page->First > From)
        return UnreachablePause;
      if (this->Fold.next() != From)
        return Millis(0);
    }
    // 5. Fold, and see whether that is all there is.
    this->Fold.take(Page->Records);
    if (this->Fold.next() >= Page->Next)
      this->becomeReady();
    this->checkpointIfDue(From);
    return Millis(0);
  }

  /// Appends the folded state to the log.
  absl::Status writeCheckpoint() {
    std::string Bytes = this->Tables.State.read(
        [](const FoldState &State) { return State.save(); });
    absl::StatusOr<Offset> At =
        this->Platform.append(LogStream::Checkpoints, Bytes);
    if (!At.ok())
      return At.status();
    this->Tables.Log.emit(EventCode::CheckpointWritten,
                          std::to_string(At->Value),
                          std::to_string(Bytes.size()) + " bytes");
    return absl::OkStatus();
  }

private:
  bool readsLog(TimePoint Now) const {
    if (this->Fold.hasPending())
      return true;
    std::vector<Member> Members = this->Tables.members(Now);
    std::size_t Here = 0;
    for (const Member &Row : Members)
      Here += Row.DataCentre == this->Tables.Me.DataCentre ? 1 : 0;
    if (Here <= EveryoneReadsUpTo)
      return true;
    std::vector<NodeHash> Relays =
        relaysOf(Members, this->Tables.Me.DataCentre);
    return std::find(Relays.begin(), Relays.end(), this->Tables.Me.Hash) !=
           Relays.end();
  }

  void noteReachable(const absl::Status &Status) {
    bool Was = this->Tables.LogUp.exchange(Status.ok());
    if (Was && !Status.ok())
      this->Tables.Log.emit(EventCode::LogUnreachable, "log",
                            messageOf(Status));
    if (!Was && Status.ok())
      this->Tables.Log.emit(EventCode::LogReachable, "log");
  }

  bool loadCheckpoint() {
    absl::StatusOr<LogPage> Head = this->Platform.read(
        LogStream::Checkpoints, Offset(UINT64_MAX), 1, Millis(0));
    if (!Head.ok() || Head->Next == Offset())
      return false;
    // The newest may be damaged or half written: then the one before it.
    for (std::uint64_t At = Head->Next.Value; At > Head->First.Value; --At) {
      absl::StatusOr<LogPage> Page = this->Platform.read(
          LogStream::Checkpoints, Offset(At - 1), 1, Millis(0));
      if (!Page.ok() || Page->Records.empty())
        return false;
      if (this->Fold.takeCheckpoint(Page->Records[0].Bytes).ok())
        return true;
    }
    return false;
  }

  void becomeReady() {
    if (!this->Tables.Ready.exchange(true))
      this->Tables.Log.emit(EventCode::DaemonReady, this->Tables.Me.Node.Text,
                            "log folded up to " +
                                std::to_string(this->Fold.next().Value));
  }

  /// The daemon on which all agree for this stretch of the log writes its
  /// checkpoint; should it just have died, the next stretch brings another.
  void checkpointIfDue(Offset Before) {
    std::uint64_t Every = this->Tables.Config.CheckpointEvery;
    std::uint64_t Stretch = this->Fold.next().Value / Every;
    if (Before.Value / Every == Stretch)
      return;
    std::vector<NodeHash> Live;
    for (const Member &Row : this->Tables.members(SystemClock{}.now()))
      Live.push_back(Row.Node);
    if (rendezvousOwner(Live, Stretch) != this->Tables.Me.Hash)
      return;
    // A checkpoint that fails is no harm: the records are there still.
    this->writeCheckpoint().IgnoreError();
  }

  Board &Tables;
  Folder &Fold;
  Service &Platform;
  TimePoint LastRead;
  bool TriedCheckpoint = false;
};

} // namespace waycove
