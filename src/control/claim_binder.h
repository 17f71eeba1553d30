// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/submitter.h"

#include <condition_variable>

namespace waycove {

/// Max number of claims in one record.
constexpr std::size_t MaxClaimBatch = 512;
/// Pause between two batches. It grows with the number of daemons, so that all
/// together send at most 250 batches per second; the batches get larger
/// instead.
constexpr Millis ClaimBatchInterval(20);
constexpr Millis ClaimIntervalPerDaemon(4);

/// Binds idempotency keys to dispatchers through the log, with many keys in one
/// record. If the log is restored from an older copy in the meantime, the
/// record of another dispatcher that held a key may be lost. Such a key is not
/// dispatched here, whatever the log says.
template <LogService Service> class ClaimBinder {
public:
  ClaimBinder(Board &Tables, Submitter<Service> &Submit)
      : Tables(Tables), Submit(Submit),
        Worker([this](const std::stop_token &Stop) { this->run(Stop); }) {}

  /// Returns the incarnation that may dispatch \p Id. Errors: LogUnavailable
  /// (it was not dispatched for this call) and KeyExpired.
  absl::StatusOr<IncarnationId> bind(const ClaimId &Id, WallMs Issued,
                                     TimePoint Until) {
    if (!this->Tables.LogUp || this->Tables.Restoring)
      return makeError(ErrorKind::LogUnavailable, "the log does not answer",
                       Millis(1000));
    auto Claim = std::make_shared<PendingClaim>();
    Claim->Id = Id;
    Claim->Issued = Issued;
    std::unique_lock Lock(this->Mutex);
    this->Queue.push_back(Claim);
    this->Changed.notify_all();
    waitUntil(this->Changed, Lock, Until,
              [&] { return Claim->Result.has_value(); });
    if (Claim->Result)
      return *Claim->Result;
    std::erase(this->Queue, Claim);
    return makeError(ErrorKind::LogUnavailable,
                     "the log did not confirm the key in time", Millis(1000));
  }

private:
  /// A claim that a caller of bind() waits for.
  struct PendingClaim {
    ClaimId Id;
    WallMs Issued;
    std::optional<absl::StatusOr<IncarnationId>> Result;
  };
  using Batch = std::vector<std::shared_ptr<PendingClaim>>;

  /// Submits queued claims in batches until stopped.
  void run(const std::stop_token &Stop) {
    while (!Stop.stop_requested()) {
      Batch Claims = this->nextBatch(Stop);
      if (Claims.empty())
        continue;
      wire::ClaimBatchT Body;
      Body.dispatcher = this->Tables.Self.Incarnation.Text;
      for (const auto &Claim : Claims) {
        auto Key = std::make_unique<wire::ClaimKeyT>();
        Key->workspace = Claim->Id.Workspace.Text;
        Key->key = Claim->Id.Key.Text;
        Key->issued_ms = Claim->Issued.Value;
        Body.claims.push_back(std::move(Key));
      }
      TimePoint Until = SystemClock{}.now() + std::chrono::seconds(2);
      StoreEra Began = this->logEra();
      absl::StatusOr<FoldOutcome> Outcome =
          this->Submit.submit(std::move(Body), Until);
      if (this->Tables.Restoring || this->logEra() != Began) {
        this->markUndispatchable(Claims);
        Outcome = makeError(ErrorKind::LogUnavailable,
                            "the log came back from an older copy");
      }
      this->setResults(Claims, Outcome);
      std::this_thread::sleep_for(this->pause());
    }
  }

  StoreEra logEra() const {
    return this->Tables.State.read(
        [](const FoldState &State) { return eraOf(State.next()); });
  }

  /// Marks the keys so that this daemon does not dispatch them even if the log
  /// names it as their dispatcher.
  void markUndispatchable(const Batch &Claims) {
    this->Tables.Idempotency.write([&](IdempotencyTable &Known) {
      for (const auto &Claim : Claims)
        Known.markUnknown(Claim->Id, Claim->Issued);
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
    Batch Claims(this->Queue.begin(),
                 this->Queue.begin() + static_cast<std::ptrdiff_t>(Count));
    this->Queue.erase(this->Queue.begin(),
                      this->Queue.begin() + static_cast<std::ptrdiff_t>(Count));
    return Claims;
  }

  /// Wakes the callers with the result of their claims.
  void setResults(const Batch &Claims,
                  const absl::StatusOr<FoldOutcome> &Outcome) {
    std::lock_guard Lock(this->Mutex);
    for (std::size_t I = 0; I < Claims.size(); ++I) {
      if (!Outcome.ok() || Outcome->Holders.size() != Claims.size())
        Claims[I]->Result =
            makeError(ErrorKind::LogUnavailable,
                      "the log did not confirm the key", Millis(1000));
      else if (Outcome->Holders[I].empty())
        Claims[I]->Result = makeError(ErrorKind::KeyExpired,
                                      "the key's time is outside its window");
      else
        Claims[I]->Result = Outcome->Holders[I];
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
