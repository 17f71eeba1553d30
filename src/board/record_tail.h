// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <deque>
#include <string>
#include <vector>

namespace waycove {

/// One record as the log holds it.
struct LogRecord {
  Offset At;
  std::string Bytes;
};

/// The newest records that this node folded, so that peers who cannot reach
/// the platform may have them. Bounded in records and bytes.
class RecordTail {
public:
  void push(LogRecord Row);
  /// Records from \p From on, at most \p MaxBytes; empty if \p From is no
  /// longer held.
  std::vector<LogRecord> since(Offset From, std::size_t MaxBytes) const;
  void clear();

private:
  std::deque<LogRecord> Rows;
  std::size_t Bytes = 0;
};

} // namespace waycove
