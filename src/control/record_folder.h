// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/board.h"

#include <condition_variable>
#include <optional>

namespace waycove {

/// Outcome of a record, for a thread that waits for it.
class PendingRecord {
public:
  /// Sets the outcome and wakes the waiting thread.
  void resolve(const FoldOutcome &Outcome);
  /// Waits for the outcome; empty if there is none by \p Until.
  std::optional<FoldOutcome> wait(TimePoint Until);

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  std::optional<FoldOutcome> Outcome;
};

/// Applies records from the log or from peers to the folded state, and wakes
/// threads that wait for their outcome. Only the record at the next offset is
/// applied, so the state neither goes back nor skips a record. After the log
/// was restored from an older copy, the state is folded anew from that copy.
/// The previous state is kept so that lost records can be appended again, and
/// the daemon serves no requests in the meantime. Thread-safe.
class RecordFolder {
public:
  explicit RecordFolder(Board &Tables) : Tables(Tables) {}

  /// Applies those of \p Records that come next; returns their number.
  std::size_t apply(const std::vector<LogRecord> &Records);
  /// Loads a checkpoint if it is ahead of the state. \p Era is the log's era
  /// for a checkpoint read from the log.
  absl::Status applyCheckpoint(const std::string &Bytes,
                               StoreEra Era = StoreEra());
  /// Starts with an empty state after the log was restored from an older copy;
  /// \p First is the offset of the oldest record that it has.
  void restart(Offset First);
  /// Returns the state from before the newest restore, and discards it.
  std::optional<FoldState> takeStateBeforeRestore();
  /// Offset of the next record to apply.
  Offset next() const;

  /// Registers a record whose outcome is needed; must be called before the
  /// record is appended.
  std::shared_ptr<PendingRecord> expect(const std::string &RecordId);
  /// Removes a record registered by expect().
  void forget(const std::string &RecordId);
  /// Returns true if a thread waits for the outcome of a record.
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
