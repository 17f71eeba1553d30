// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/log.h"
#include "control/record_folder.h"
#include "policy/rendezvous.h"
#include "policy/rewrite.h"

#include <thread>

namespace waycove {

/// Max number of records read from the log in one call.
constexpr std::size_t MaxReadBatch = 512;
constexpr Millis LongPollTimeout(1000);
constexpr Millis UnreachableRetryInterval(200);
/// In data centres with more daemons than this, only the relays read the log;
/// the others get records from their peers.
constexpr std::size_t MaxDirectReaders = 9;
/// Interval at which a daemon that gets records from peers reads the log.
constexpr Millis FallbackReadInterval(5000);
/// Time for all daemons to notice that the log was restored from an older copy
/// and to append the lost records again: a long poll and the timeout of a call.
constexpr Millis RewriteGracePeriod(3000);
/// Interval between attempts to append the same lost record again.
constexpr Millis RewriteRetryInterval(500);

/// Reads and folds the platform's log. Loads a checkpoint if the log no longer
/// has the next record, and regularly writes one. After the log was restored
/// from an older copy, it folds that copy from its start, appends the lost
/// records again, and lets the daemon serve only after all daemons had time to
/// do the same. Otherwise a key could be claimed twice, or an older config
/// could come into force.
template <LogService Service> class LogFollower {
public:
  LogFollower(Board &Tables, RecordFolder &Fold, Service &Platform)
      : Tables(Tables), Fold(Fold), Platform(Platform) {}

  /// Reads and folds once; returns the pause before the next step.
  Millis step() {
    // 1. Skip the read if peers provide the records.
    TimePoint Now = SystemClock{}.now();
    if (this->Tables.Ready && !this->readsLog(Now) &&
        Now - this->LastRead < FallbackReadInterval)
      return Millis(50);
    this->LastRead = Now;
    // 2. Read.
    Offset From = this->Fold.next();
    absl::StatusOr<LogPage> Page =
        this->Platform.read(LogStream::Records, From, MaxReadBatch,
                            this->Tables.Ready ? LongPollTimeout : Millis(0));
    this->recordReachability(Page.status());
    if (!Page.ok())
      return UnreachableRetryInterval;
    // 3. The log was restored from an older copy: fold it from its start.
    if (eraOf(Page->Next) > eraOf(From)) {
      this->beginEra(Page->First);
      return Millis(0);
    }
    // 4. Ignore a response that is older than the state.
    if (Page->Next < From) {
      this->Tables.Log.emit(EventCode::LogStale,
                            std::to_string(Page->Next.Value),
                            "folded " + std::to_string(From.Value));
      return UnreachableRetryInterval;
    }
    // 5. If the log no longer has the next record, load a checkpoint.
    bool AtStart = From == Page->First && !this->TriedCheckpoint;
    if (Page->First > From || AtStart) {
      this->TriedCheckpoint = true;
      if (!this->loadCheckpoint() && Page->First > From)
        return UnreachableRetryInterval;
      if (this->Fold.next() != From)
        return Millis(0);
    }
    // 6. Fold, and check whether the state has caught up with the log.
    this->Fold.apply(Page->Records);
    if (this->Fold.next() >= Page->Next && this->rewriteLostRecords())
      this->becomeReady();
    this->checkpointIfDue(From);
    return Millis(0);
  }

  /// Appends the folded state to the checkpoints of the log.
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
  /// Returns true if this daemon should read the log itself now.
  bool readsLog(TimePoint Now) const {
    if (this->Fold.hasPending())
      return true;
    std::vector<Member> Members = this->Tables.members(Now);
    std::size_t LocalCount = 0;
    for (const Member &Row : Members)
      LocalCount += Row.DataCentre == this->Tables.Self.DataCentre ? 1 : 0;
    if (LocalCount <= MaxDirectReaders)
      return true;
    std::vector<NodeHash> Relays =
        relaysOf(Members, this->Tables.Self.DataCentre);
    return std::find(Relays.begin(), Relays.end(), this->Tables.Self.Hash) !=
           Relays.end();
  }

  void recordReachability(const absl::Status &Status) {
    bool Was = this->Tables.LogUp.exchange(Status.ok());
    if (Was && !Status.ok())
      this->Tables.Log.emit(EventCode::LogUnreachable, "log",
                            messageOf(Status));
    if (!Was && Status.ok())
      this->Tables.Log.emit(EventCode::LogReachable, "log");
  }

  void beginEra(Offset First) {
    this->Fold.restart(First);
    this->TriedCheckpoint = false;
    this->RewriteGraceEnd = SystemClock{}.now() + RewriteGracePeriod;
  }

  /// Appends the records that the newest restore lost. Returns true once none
  /// is missing and other daemons had time to append those that this one lacks.
  bool rewriteLostRecords() {
    TimePoint Now = SystemClock{}.now();
    if (std::optional<FoldState> OldState =
            this->Fold.takeStateBeforeRestore()) {
      this->RewriteGraceEnd = Now + RewriteGracePeriod;
      this->LostRecords = this->Tables.State.read([&](const FoldState &State) {
        return lostRecords(*OldState, State);
      });
    }
    this->Tables.State.read([&](const FoldState &State) {
      std::erase_if(this->LostRecords, [&](const wire::RecordT &Record) {
        return isSettled(Record, State);
      });
    });
    if (!this->LostRecords.empty() && Now >= this->NextRewrite) {
      this->NextRewrite = Now + RewriteRetryInterval;
      for (wire::RecordT &Record : this->LostRecords)
        this->rewrite(Record);
    }
    return this->LostRecords.empty() && Now >= this->RewriteGraceEnd;
  }

  void rewrite(wire::RecordT &Record) {
    Record.node = this->Tables.Self.Node.Text;
    absl::StatusOr<Offset> At =
        this->Platform.append(LogStream::Records, packRecord(Record));
    this->Tables.Log.emit(EventCode::RecordWrittenAgain, Record.id,
                          At.ok() ? std::to_string(withoutEra(At->Value))
                                  : messageOf(At.status()));
  }

  /// Returns true if the log has the last record of the checkpoint at the same
  /// position. A checkpoint of an earlier era may come from a daemon that had
  /// not noticed the restore; the log may then have another record there.
  bool matchesLog(const CheckpointPosition &Place, StoreEra Era) {
    std::uint64_t Next = withoutEra(Place.Next.Value);
    if (eraOf(Place.Next) == Era)
      return true;
    if (Next == 0 || Place.LastRecord.empty())
      return false;
    absl::StatusOr<LogPage> Page = this->Platform.read(
        LogStream::Records, Offset(packPosition(Era, Next - 1)), 1, Millis(0));
    if (!Page.ok() || Page->Records.empty())
      return false;
    std::optional<wire::RecordT> Record =
        unpackRecord(Page->Records.front().Bytes);
    return withoutEra(Page->Records.front().At.Value) == Next - 1 && Record &&
           Record->id == Place.LastRecord;
  }

  bool loadCheckpoint() {
    absl::StatusOr<LogPage> Head = this->Platform.read(
        LogStream::Checkpoints, Offset(UINT64_MAX), 1, Millis(0));
    if (!Head.ok())
      return false;
    StoreEra Era = eraOf(Head->Next);
    // The newest may be damaged or incomplete; then try the previous one.
    for (std::uint64_t At = Head->Next.Value; At > Head->First.Value; --At) {
      absl::StatusOr<LogPage> Page = this->Platform.read(
          LogStream::Checkpoints, Offset(At - 1), 1, Millis(0));
      if (!Page.ok() || Page->Records.empty())
        return false;
      const std::string &Bytes = Page->Records[0].Bytes;
      std::optional<CheckpointPosition> Place = checkpointPosition(Bytes);
      if (Place && this->matchesLog(*Place, Era) &&
          this->Fold.applyCheckpoint(Bytes, Era).ok())
        return true;
    }
    return false;
  }

  void becomeReady() {
    this->Tables.Restoring = false;
    if (!this->Tables.Ready.exchange(true))
      this->Tables.Log.emit(EventCode::DaemonReady, this->Tables.Self.Node.Text,
                            "log folded up to " +
                                std::to_string(this->Fold.next().Value));
  }

  /// Writes a checkpoint each time the state has passed another
  /// CheckpointInterval records. One daemon per interval does, selected by
  /// rendezvous hashing; if it is dead, the next interval has another.
  void checkpointIfDue(Offset Before) {
    std::uint64_t Interval = this->Tables.Config.CheckpointInterval;
    std::uint64_t Index = this->Fold.next().Value / Interval;
    if (Before.Value / Interval == Index)
      return;
    std::vector<NodeHash> Live;
    for (const Member &Other : this->Tables.members(SystemClock{}.now()))
      Live.push_back(Other.Node);
    if (rendezvousOwner(Live, Index) != this->Tables.Self.Hash)
      return;
    // If this fails, the log still has the records.
    this->writeCheckpoint().IgnoreError();
  }

  Board &Tables;
  RecordFolder &Fold;
  Service &Platform;
  TimePoint LastRead;
  bool TriedCheckpoint = false;
  /// Records that the newest restore lost and that are not yet appended again.
  std::vector<wire::RecordT> LostRecords;
  /// When the lost records may next be appended.
  TimePoint NextRewrite;
  /// By when all daemons had time to append lost records again.
  TimePoint RewriteGraceEnd;
};

} // namespace waycove
