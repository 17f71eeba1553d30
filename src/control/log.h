// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/errors.h"
#include "board/record_tail.h"

#include <concepts>

namespace waycove {

/// What a read of a stream gives. Its offsets hold the store's era (EraShift),
/// so that they only grow: where the log came back from an older copy, the same
/// records have larger ones.
struct LogPage {
  /// Offset of the oldest record that the log still holds.
  Offset First;
  /// Offset that the next appended record will get.
  Offset Next;
  std::vector<LogRecord> Records;
};

enum class LogStream { Records, Checkpoints };

/// The platform's append-only log. An append's error kind is LogUnavailable
/// where nothing was written, and OutcomeUnknown where it may have been.
template <typename T>
concept LogService = requires(T &L, LogStream Stream, const std::string &Bytes,
                              Offset From, std::size_t Max, Millis Wait) {
  { L.append(Stream, Bytes) } -> std::same_as<absl::StatusOr<Offset>>;
  { L.read(Stream, From, Max, Wait) } -> std::same_as<absl::StatusOr<LogPage>>;
};

} // namespace waycove
