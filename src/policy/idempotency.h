// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/fold.h"

namespace waycove {

/// A complete response, stored for callers who repeat a request with the same
/// key.
struct StoredResponse {
  int HttpStatus = 0;
  std::string ContentType;
  std::string Body;
};

enum class IdempotencyState { Absent, Running, Done, Unknown };

/// What is known about the key of a request.
struct IdempotencyLookup {
  IdempotencyState State{};
  /// The key was used for a request with different content.
  bool Differs = false;
  std::optional<StoredResponse> Response;
};

/// Records the keyed requests that this daemon dispatched. An entry is created
/// before the request is sent and stays for the validity window of the key, so
/// no request is sent twice. The total size of stored bodies is bounded; if a
/// body was evicted, the outcome is unknown to later callers, and the request
/// is not repeated. Not thread-safe.
class IdempotencyTable {
public:
  explicit IdempotencyTable(std::size_t MaxBodyBytes)
      : MaxBodyBytes(MaxBodyBytes) {}

  IdempotencyLookup find(const ClaimId &Id, std::uint64_t Fingerprint) const;
  /// Marks \p Id as being dispatched. Returns false if it is already known.
  bool begin(const ClaimId &Id, std::uint64_t Fingerprint, WallMs Issued);
  /// Removes \p Id after an attempt that certainly did not reach a target, so
  /// that it may begin again.
  void abandon(const ClaimId &Id);
  void finish(const ClaimId &Id, StoredResponse Response);
  void finishUnknown(const ClaimId &Id);
  /// Records that \p Id must not be dispatched here, since another daemon may
  /// have done so.
  void markUnknown(const ClaimId &Id, WallMs Issued);
  /// Removes keys whose window passed as of \p Now, which must be behind both
  /// the clock of the fold and the wall clock.
  void prune(WallMs Now);
  std::size_t size() const { return this->Entries.size(); }
  std::size_t bodyBytes() const { return this->BodyBytes; }

private:
  struct Entry {
    IdempotencyState State{};
    /// Empty if the request was not seen here.
    std::optional<std::uint64_t> Fingerprint;
    WallMs Issued;
    std::optional<StoredResponse> Response;
  };
  std::size_t MaxBodyBytes;
  std::size_t BodyBytes = 0;
  std::unordered_map<ClaimId, Entry, ClaimIdHash> Entries;
  std::multimap<WallMs, ClaimId> Ages;
  std::vector<ClaimId> BodyOrder;
  std::size_t BodyHead = 0;
};

/// Parts of an idempotency key. Callers send "<unix ms>-<anything>"; tickets
/// are "t-<unix ms>-<incarnation>-<number>".
struct IdempotencyKeyParts {
  WallMs Issued;
  /// The daemon that issued the ticket; empty for a caller's own key.
  IncarnationId Issuer;
};

absl::StatusOr<IdempotencyKeyParts> parseKey(const IdempotencyKey &Key);
IdempotencyKey makeTicket(WallMs Now, const IncarnationId &Issuer,
                          std::uint64_t Number);

} // namespace waycove
