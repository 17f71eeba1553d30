// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/record_folder.h"

namespace waycove {

void PendingRecord::resolve(const FoldOutcome &Result) {
  std::lock_guard Lock(this->Mutex);
  // The log may contain the record twice, after a lost acknowledgement; the
  // first copy decides.
  if (!this->Outcome)
    this->Outcome = Result;
  this->Changed.notify_all();
}

std::optional<FoldOutcome> PendingRecord::wait(TimePoint Until) {
  std::unique_lock Lock(this->Mutex);
  waitUntil(this->Changed, Lock, Until,
            [&] { return this->Outcome.has_value(); });
  return this->Outcome;
}

std::size_t RecordFolder::apply(const std::vector<LogRecord> &Records) {
  std::size_t Applied = 0;
  for (const LogRecord &Record : Records) {
    std::optional<FoldOutcome> Outcome =
        this->Tables.State.write([&](FoldState &State) {
          if (State.next() != Record.At)
            return std::optional<FoldOutcome>();
          FoldOutcome Result = State.fold(Record.At, Record.Bytes);
          this->Tables.Tail.write([&](RecordTail &Tail) { Tail.push(Record); });
          return std::optional<FoldOutcome>(std::move(Result));
        });
    if (!Outcome)
      continue;
    ++Applied;
    if (Outcome->TouchesRouting)
      this->Tables.RoutingVersion.fetch_add(1);
    this->Tables.Counters.add(Outcome->Accepted ? Counter::RecordsFolded
                                                : Counter::RecordsRefused);
    if (Outcome->Holders.empty())
      this->Tables.Log.emit(Outcome->Accepted ? EventCode::RecordAccepted
                                              : EventCode::RecordRefused,
                            std::to_string(Record.At.Value), Outcome->Reason);
    this->resolve(*Outcome);
  }
  return Applied;
}

absl::Status RecordFolder::applyCheckpoint(const std::string &Bytes,
                                           StoreEra Era) {
  FoldState Old =
      this->Tables.State.read([](const FoldState &State) { return State; });
  absl::Status Result = this->Tables.State.write([&](FoldState &State) {
    absl::Status Loaded = State.load(Bytes, Era);
    if (Loaded.ok())
      this->Tables.Tail.write([](RecordTail &Tail) { Tail.clear(); });
    return Loaded;
  });
  if (!Result.ok())
    return Result;
  this->keepIfRestored(std::move(Old), this->next());
  this->Tables.RoutingVersion.fetch_add(1);
  this->Tables.Log.emit(EventCode::CheckpointLoaded,
                        std::to_string(this->next().Value));
  return Result;
}

void RecordFolder::restart(Offset First) {
  FoldState Old = this->Tables.State.write([&](FoldState &State) {
    this->Tables.Tail.write([](RecordTail &Tail) { Tail.clear(); });
    return std::exchange(State, FoldState(First));
  });
  this->keepIfRestored(std::move(Old), First);
  this->Tables.RoutingVersion.fetch_add(1);
}

/// If the log has entered a later era, keeps \p Old and stops serving until the
/// lost records have been appended again.
void RecordFolder::keepIfRestored(FoldState Old, Offset Now) {
  if (Old.next() == Offset() || eraOf(Now) <= eraOf(Old.next()))
    return;
  this->Tables.Restoring = true;
  this->Tables.Ready = false;
  this->Tables.Log.emit(EventCode::StoreRestored, "log",
                        LogFields()
                            .add("known", withoutEra(Old.next().Value))
                            .add("known_era", eraOf(Old.next()).Value)
                            .add("offset", withoutEra(Now.Value))
                            .add("era", eraOf(Now).Value));
  std::lock_guard Lock(this->Mutex);
  this->StateBeforeRestore = std::move(Old);
}

std::optional<FoldState> RecordFolder::takeStateBeforeRestore() {
  std::lock_guard Lock(this->Mutex);
  return std::exchange(this->StateBeforeRestore, std::nullopt);
}

Offset RecordFolder::next() const {
  return this->Tables.State.read(
      [](const FoldState &State) { return State.next(); });
}

std::shared_ptr<PendingRecord>
RecordFolder::expect(const std::string &RecordId) {
  auto Pending = std::make_shared<PendingRecord>();
  std::lock_guard Lock(this->Mutex);
  this->PendingRecords[RecordId] = Pending;
  return Pending;
}

void RecordFolder::forget(const std::string &RecordId) {
  std::lock_guard Lock(this->Mutex);
  this->PendingRecords.erase(RecordId);
}

bool RecordFolder::hasPending() const {
  std::lock_guard Lock(this->Mutex);
  return !this->PendingRecords.empty();
}

void RecordFolder::resolve(const FoldOutcome &Outcome) {
  std::shared_ptr<PendingRecord> Pending;
  {
    std::lock_guard Lock(this->Mutex);
    auto At = this->PendingRecords.find(Outcome.RecordId);
    if (At == this->PendingRecords.end())
      return;
    Pending = At->second;
  }
  Pending->resolve(Outcome);
}

} // namespace waycove
