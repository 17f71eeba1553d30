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
/// one, so the state never goes back and never skips. Thread-safe.
class Folder {
public:
  explicit Folder(Board &Tables) : Tables(Tables) {}

  /// Takes in what of \p Records comes next; returns how many were.
  std::size_t take(const std::vector<LogRecord> &Records);
  /// Takes in a checkpoint, if it is ahead.
  absl::Status takeCheckpoint(const std::string &Bytes);
  Offset next() const;

  /// To be called before the record is appended.
  std::shared_ptr<PendingRecord> expect(const std::string &RecordId);
  void forget(const std::string &RecordId);
  bool hasPending() const;

private:
  void resolve(const FoldOutcome &Outcome);

  Board &Tables;
  mutable std::mutex Mutex;
  std::unordered_map<std::string, std::shared_ptr<PendingRecord>> Waiting;
};

} // namespace waycove
