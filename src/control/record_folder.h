// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/board.h"

#include <condition_variable>
#include <optional>

namespace waycove {

/// One record whose outcome somebody waits for.
class PendingRecord {
public:
  void resolve(const FoldOutcome &Outcome);
  std::optional<FoldOutcome> wait(TimePoint Until);

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  std::optional<FoldOutcome> Outcome;
};

/// Takes records into the folded state, from wherever they come, and tells
/// those who wait for one of them. A record is taken only when it is the next
/// one, so the state never goes back and never skips. Where the log came back
/// from an older copy, the state is folded anew from that, as on each daemon
/// that starts; what was known before is kept for writing it again, and the
/// daemon takes no requests meanwhile. Thread-safe.
class RecordFolder {
public:
  explicit RecordFolder(Board &Tables) : Tables(Tables) {}

  /// Takes in what of \p Records comes next; returns how many were.
  std::size_t apply(const std::vector<LogRecord> &Records);
  /// Takes in a checkpoint, if it is ahead; one from the log, in the era of
  /// that.
  absl::Status applyCheckpoint(const std::string &Bytes,
                               StoreEra Era = StoreEra());
  /// The log came back from an older copy, of which \p First is the first
  /// record that it holds.
  void restart(Offset First);
  /// What was known before the newest restart, once.
  std::optional<FoldState> takeStateBeforeRestore();
  Offset next() const;

  /// To be called before the record is appended.
  std::shared_ptr<PendingRecord> expect(const std::string &RecordId);
  void forget(const std::string &RecordId);
  bool hasPending() const;

private:
  void resolve(const FoldOutcome &Outcome);
  void keepIfRestored(FoldState Old, Offset Now);

  Board &Tables;
  mutable std::mutex Mutex;
  std::optional<FoldState> StateBeforeRestore;
  std::unordered_map<std::string, std::shared_ptr<PendingRecord>>
      PendingRecords;
};

} // namespace waycove
