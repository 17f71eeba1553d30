// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <deque>
#include <string>
#include <vector>

namespace waycove {

/// A record of the log.
struct LogRecord {
  Offset At;
  std::string Bytes;
};

/// The newest records that this node folded, for peers that cannot reach the
/// platform. Bounded in records and bytes.
class RecordTail {
public:
  void push(LogRecord Record);
  /// Returns the records from \p From on, of about \p MaxBytes in total; empty
  /// if the record at \p From was dropped.
  std::vector<LogRecord> since(Offset From, std::size_t MaxBytes) const;
  void clear();

private:
  std::deque<LogRecord> Records;
  std::size_t Bytes = 0;
};

} // namespace waycove
