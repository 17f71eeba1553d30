// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/errors.h"
#include "board/record_tail.h"

#include <concepts>

namespace waycove {

/// Result of reading a stream. Offsets include the store's era (EraShift), so
/// that they only grow: after the log was restored from an older copy, the same
/// records have larger offsets.
struct LogPage {
  /// Offset of the oldest record that the log still has.
  Offset First;
  /// Offset of the next record to be appended.
  Offset Next;
  std::vector<LogRecord> Records;
};

enum class LogStream { Records, Checkpoints };

/// The platform's append-only log. A failed append returns LogUnavailable if
/// nothing was written, and OutcomeUnknown if the record may have been written.
template <typename T>
concept LogService = requires(T &L, LogStream Stream, const std::string &Bytes,
                              Offset From, std::size_t Max, Millis Wait) {
  { L.append(Stream, Bytes) } -> std::same_as<absl::StatusOr<Offset>>;
  { L.read(Stream, From, Max, Wait) } -> std::same_as<absl::StatusOr<LogPage>>;
};

} // namespace waycove
