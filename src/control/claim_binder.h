// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/submitter.h"

#include <condition_variable>

namespace waycove {

/// Claims in one record at most.
constexpr std::size_t MaxClaimBatch = 512;
/// The log takes a few hundred appends a second from all daemons together. So
/// each waits between two batches, the longer the more daemons there are: all
/// of them stay below 250 batches a second, and what grows is the batch.
constexpr Millis ClaimBatchInterval(20);
constexpr Millis ClaimIntervalPerDaemon(4);

/// Binds idempotency keys to dispatchers through the log, many in one record.
/// Where the log came back from an older copy meanwhile, another dispatcher may
/// have held a key, and the record of that be lost: whatever the log says then,
/// such a key is not dispatched here.
template <LogService Service> class ClaimBinder {
public:
  ClaimBinder(Board &Tables, Submitter<Service> &Submit)
      : Tables(Tables), Submit(Submit),
        Worker([this](const std::stop_token &Stop) { this->run(Stop); }) {}

  /// The incarnation that may dispatch \p Id. Errors: LogUnavailable (nobody
  /// has dispatched it on this call's behalf, so it has not run here) and
  /// KeyExpired.
  absl::StatusOr<IncarnationId> bind(const ClaimId &Id, WallMs Issued,
                                     TimePoint Until) {
    if (!this->Tables.LogUp || this->Tables.Restoring)
      return makeError(ErrorKind::LogUnavailable, "the log does not answer",
                       Millis(1000));
    auto Entry = std::make_shared<PendingClaim>();
    Entry->Id = Id;
    Entry->Issued = Issued;
    std::unique_lock Lock(this->Mutex);
    this->Queue.push_back(Entry);
    this->Changed.notify_all();
    waitUntil(this->Changed, Lock, Until,
              [&] { return Entry->Result.has_value(); });
    if (Entry->Result)
      return *Entry->Result;
    std::erase(this->Queue, Entry);
    return makeError(ErrorKind::LogUnavailable,
                     "the log did not confirm the key in time", Millis(1000));
  }

private:
  struct PendingClaim {
    ClaimId Id;
    WallMs Issued;
    std::optional<absl::StatusOr<IncarnationId>> Result;
  };
  using Batch = std::vector<std::shared_ptr<PendingClaim>>;

  void run(const std::stop_token &Stop) {
    while (!Stop.stop_requested()) {
      Batch Rows = this->nextBatch(Stop);
      if (Rows.empty())
        continue;
      wire::ClaimBatchT Body;
      Body.dispatcher = this->Tables.Self.Incarnation.Text;
      for (const auto &Row : Rows) {
        auto Key = std::make_unique<wire::ClaimKeyT>();
        Key->workspace = Row->Id.Workspace.Text;
        Key->key = Row->Id.Key.Text;
        Key->issued_ms = Row->Issued.Value;
        Body.claims.push_back(std::move(Key));
      }
      TimePoint Until = SystemClock{}.now() + std::chrono::seconds(2);
      StoreEra Began = this->logEra();
      absl::StatusOr<FoldOutcome> Outcome =
          this->Submit.submit(std::move(Body), Until);
      if (this->Tables.Restoring || this->logEra() != Began) {
        this->giveUp(Rows);
        Outcome = makeError(ErrorKind::LogUnavailable,
                            "the log came back from an older copy");
      }
      this->setResults(Rows, Outcome);
      std::this_thread::sleep_for(this->pause());
    }
  }

  StoreEra logEra() const {
    return this->Tables.State.read(
        [](const FoldState &State) { return eraOf(State.next()); });
  }

  /// The log may name this daemon as their dispatcher from now on.
  void giveUp(const Batch &Rows) {
    this->Tables.Idempotency.write([&](IdempotencyTable &Known) {
      for (const auto &Row : Rows)
        Known.markUnknown(Row->Id, Row->Issued);
    });
  }

  Millis pause() const {
    std::size_t Daemons = this->Tables.Peers.read(
        [](const PeerTable &Rows) { return Rows.rows().size() + 1; });
    return std::max(ClaimBatchInterval, static_cast<std::int64_t>(Daemons) *
                                            ClaimIntervalPerDaemon);
  }

  Batch nextBatch(const std::stop_token &Stop) {
    std::unique_lock Lock(this->Mutex);
    this->Changed.wait(Lock, Stop, [&] { return !this->Queue.empty(); });
    std::size_t Count = std::min(this->Queue.size(), MaxClaimBatch);
    Batch Rows(this->Queue.begin(),
               this->Queue.begin() + static_cast<std::ptrdiff_t>(Count));
    this->Queue.erase(this->Queue.begin(),
                      this->Queue.begin() + static_cast<std::ptrdiff_t>(Count));
    return Rows;
  }

  void setResults(const Batch &Rows,
                  const absl::StatusOr<FoldOutcome> &Outcome) {
    std::lock_guard Lock(this->Mutex);
    for (std::size_t I = 0; I < Rows.size(); ++I) {
      if (!Outcome.ok() || Outcome->Holders.size() != Rows.size())
        Rows[I]->Result =
            makeError(ErrorKind::LogUnavailable,
                      "the log did not confirm the key", Millis(1000));
      else if (Outcome->Holders[I].empty())
        Rows[I]->Result = makeError(ErrorKind::KeyExpired,
                                    "the key's time is outside its window");
      else
        Rows[I]->Result = Outcome->Holders[I];
    }
    this->Changed.notify_all();
  }

  Board &Tables;
  Submitter<Service> &Submit;
  std::mutex Mutex;
  std::condition_variable_any Changed;
  Batch Queue;
  std::jthread Worker;
};

} // namespace waycove
