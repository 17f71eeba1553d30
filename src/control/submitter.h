// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/log.h"
#include "control/record_folder.h"

#include <thread>

namespace waycove {

/// Interval between attempts to append the same record.
constexpr Millis AppendRetryInterval(100);

/// Appends records to the log and waits until they are folded. A record keeps
/// its id over all attempts: if the response to an append was lost, the fold
/// shows whether it succeeded, and a second copy has no effect.
template <LogService Service> class Submitter {
public:
  Submitter(Board &Tables, RecordFolder &Fold, Service &Platform)
      : Tables(Tables), Fold(Fold), Platform(Platform) {}

  /// Appends a record with \p Body and returns its outcome. Errors:
  /// LogUnavailable if the record is certainly not in the log, OutcomeUnknown
  /// if it may still take effect.
  template <typename Change>
  absl::StatusOr<FoldOutcome> submit(Change Body, TimePoint Until) {
    wire::RecordT Record;
    Record.id = randomId();
    Record.node = this->Tables.Self.Node.Text;
    Record.written_ms = SystemClock{}.wall().Value;
    Record.change.Set(std::move(Body));
    std::string Bytes = packRecord(Record);
    auto Pending = this->Fold.expect(Record.id);
    absl::StatusOr<FoldOutcome> Result =
        this->appendAndWait(Bytes, *Pending, Until);
    this->Fold.forget(Record.id);
    return Result;
  }

private:
  absl::StatusOr<FoldOutcome> appendAndWait(const std::string &Bytes,
                                            PendingRecord &Pending,
                                            TimePoint Until) {
    bool MayBeInLog = false;
    while (true) {
      // 1. Append.
      absl::StatusOr<Offset> At =
          this->Platform.append(LogStream::Records, Bytes);
      this->Tables.Counters.add(Counter::AppendsSent);
      MayBeInLog |= At.ok() || kindOf(At.status()) == ErrorKind::OutcomeUnknown;
      // 2. Wait until it is folded; only briefly if the append failed.
      TimePoint Now = SystemClock{}.now();
      TimePoint WaitUntil =
          At.ok() ? Until : std::min(Until, Now + AppendRetryInterval);
      if (auto Outcome = Pending.wait(WaitUntil))
        return *Outcome;
      if (SystemClock{}.now() >= Until)
        break;
    }
    if (MayBeInLog)
      return makeError(ErrorKind::OutcomeUnknown,
                       "the record was sent to the log, which did not confirm "
                       "it in time");
    return makeError(ErrorKind::LogUnavailable, "the log takes no records",
                     Millis(1000));
  }

  Board &Tables;
  RecordFolder &Fold;
  Service &Platform;
};

} // namespace waycove
