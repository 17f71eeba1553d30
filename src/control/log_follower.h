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

/// Records read from the log in one call.
constexpr std::size_t MaxReadBatch = 512;
constexpr Millis LongPollTimeout(1000);
constexpr Millis UnreachableRetryInterval(200);
/// Data centres with more daemons than this leave the reading to their relays,
/// and the others learn records from their peers.
constexpr std::size_t MaxDirectReaders = 9;
constexpr Millis FallbackReadInterval(5000);
/// For each daemon to notice that the log came back from an older copy, by its
/// long poll, and to write again what that lost: a call's time-out later.
constexpr Millis RewriteGracePeriod(3000);
/// Between two tries to write the same record again.
constexpr Millis RewriteRetryInterval(500);

/// Reads the platform's log and folds it; loads a checkpoint where the log has
/// forgotten what comes next, and writes one now and then. Where the log came
/// back from an older copy, it folds that from its start, writes again what is
/// lost, and has the daemon take requests when all daemons had the time to: a
/// key that one of them had claimed must not be claimed anew, and no older
/// configuration comes in force.
template <LogService Service> class LogFollower {
public:
  LogFollower(Board &Tables, RecordFolder &Fold, Service &Platform)
      : Tables(Tables), Fold(Fold), Platform(Platform) {}

  /// One read and what follows from it. Returns how long to pause.
  Millis step() {
    // 1. Peers pass records on; only some need to ask the log.
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
    // 3. The log came back from an older copy: nothing follows from the state.
    if (eraOf(Page->Next) > eraOf(From)) {
      this->beginEra(Page->First);
      return Millis(0);
    }
    // 4. An answer older than the state is not taken.
    if (Page->Next < From) {
      this->Tables.Log.emit(EventCode::LogStale,
                            std::to_string(Page->Next.Value),
                            "folded " + std::to_string(From.Value));
      return UnreachableRetryInterval;
    }
    // 5. The log forgot what comes next: a checkpoint has it.
    bool AtStart = From == Page->First && !this->TriedCheckpoint;
    if (Page->First > From || AtStart) {
      this->TriedCheckpoint = true;
      if (!this->loadCheckpoint() && Page->First > From)
        return UnreachableRetryInterval;
      if (this->Fold.next() != From)
        return Millis(0);
    }
    // 6. Fold, and see whether that is all there is.
    this->Fold.apply(Page->Records);
    if (this->Fold.next() >= Page->Next && this->rewriteLostRecords())
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
      Here += Row.DataCentre == this->Tables.Self.DataCentre ? 1 : 0;
    if (Here <= MaxDirectReaders)
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

  /// Writes what the newest restore lost; whether nothing is left, and other
  /// daemons had the time to write what this one does not know.
  bool rewriteLostRecords() {
    TimePoint Now = SystemClock{}.now();
    if (std::optional<FoldState> Before = this->Fold.takeStateBeforeRestore()) {
      this->RewriteGraceEnd = Now + RewriteGracePeriod;
      this->LostRecords = this->Tables.State.read(
          [&](const FoldState &State) { return lostRecords(*Before, State); });
    }
    this->Tables.State.read([&](const FoldState &State) {
      std::erase_if(this->LostRecords, [&](const wire::RecordT &Row) {
        return isSettled(Row, State);
      });
    });
    if (!this->LostRecords.empty() && Now >= this->NextRewrite) {
      this->NextRewrite = Now + RewriteRetryInterval;
      for (wire::RecordT &Row : this->LostRecords)
        this->rewrite(Row);
    }
    return this->LostRecords.empty() && Now >= this->RewriteGraceEnd;
  }

  void rewrite(wire::RecordT &Row) {
    Row.node = this->Tables.Self.Node.Text;
    absl::StatusOr<Offset> At =
        this->Platform.append(LogStream::Records, packRecord(Row));
    this->Tables.Log.emit(EventCode::RecordWrittenAgain, Row.id,
                          At.ok() ? std::to_string(withoutEra(At->Value))
                                  : messageOf(At.status()));
  }

  /// Whether the log has the record before \p Place where the checkpoint says.
  /// One of an earlier era may have been written by a daemon that had not
  /// noticed that the log came back; then the log holds another record there.
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
    // The newest may be damaged or half written: then the one before it.
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

  /// The daemon on which all agree for this stretch of the log writes its
  /// checkpoint; should it just have died, the next stretch brings another.
  void checkpointIfDue(Offset Before) {
    std::uint64_t Every = this->Tables.Config.CheckpointInterval;
    std::uint64_t Stretch = this->Fold.next().Value / Every;
    if (Before.Value / Every == Stretch)
      return;
    std::vector<NodeHash> Live;
    for (const Member &Row : this->Tables.members(SystemClock{}.now()))
      Live.push_back(Row.Node);
    if (rendezvousOwner(Live, Stretch) != this->Tables.Self.Hash)
      return;
    // A checkpoint that fails is no harm: the records are there still.
    this->writeCheckpoint().IgnoreError();
  }

  Board &Tables;
  RecordFolder &Fold;
  Service &Platform;
  TimePoint LastRead;
  bool TriedCheckpoint = false;
  /// What the newest restore lost and is not written again yet.
  std::vector<wire::RecordT> LostRecords;
  /// When it is tried again.
  TimePoint NextRewrite;
  /// By when all daemons had the time to write again what it lost.
  TimePoint RewriteGraceEnd;
};

} // namespace waycove
