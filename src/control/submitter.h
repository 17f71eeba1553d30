// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/log.h"
#include "control/record_folder.h"

#include <thread>

namespace waycove {

/// Pause between tries to append the same record.
constexpr Millis AppendRetryInterval(100);

/// Appends records and waits until the fold has passed them. A record keeps
/// its id over all tries, so an append whose answer was lost is settled by
/// what the fold says, and a second copy of it changes nothing.
template <LogService Service> class Submitter {
public:
  Submitter(Board &Tables, RecordFolder &Fold, Service &Platform)
      : Tables(Tables), Fold(Fold), Platform(Platform) {}

  /// Errors: LogUnavailable where the record is certainly not in the log;
  /// OutcomeUnknown where it may yet come into force.
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
    bool MayBeIn = false;
    while (true) {
      // 1. Append, unless an earlier try's outcome has come meanwhile.
      absl::StatusOr<Offset> At =
          this->Platform.append(LogStream::Records, Bytes);
      this->Tables.Counters.add(Counter::AppendsSent);
      MayBeIn |= At.ok() || kindOf(At.status()) == ErrorKind::OutcomeUnknown;
      // 2. Wait for the fold to pass it; briefly, if it may not be there.
      TimePoint Now = SystemClock{}.now();
      TimePoint Pause =
          At.ok() ? Until : std::min(Until, Now + AppendRetryInterval);
      if (auto Outcome = Pending.wait(Pause))
        return *Outcome;
      if (SystemClock{}.now() >= Until)
        break;
    }
    if (MayBeIn)
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
