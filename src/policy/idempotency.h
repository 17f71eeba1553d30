// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/fold.h"

namespace waycove {

/// A whole answer kept for callers who ask again with the same key.
struct StoredResponse {
  int HttpStatus = 0;
  std::string ContentType;
  std::string Body;
};

enum class IdempotencyState { Absent, Running, Done, Unknown };

/// What a caller with a key is to do.
struct IdempotencyLookup {
  IdempotencyState State{};
  /// The key was used for a request with another content.
  bool Differs = false;
  std::optional<StoredResponse> Answer;
};

/// Remembers the keyed requests that this daemon dispatched. An entry is made
/// before the request is sent and stays for the key's whole validity window,
/// so nothing is sent twice. Answers' bodies are bounded in sum; where one was
/// let go, the outcome is unknown to later callers, never run again. Pure and
/// not thread-safe.
class IdempotencyTable {
public:
  explicit IdempotencyTable(std::size_t MaxBodyBytes)
      : MaxBodyBytes(MaxBodyBytes) {}

  IdempotencyLookup find(const ClaimId &Id, std::uint64_t Fingerprint) const;
  /// Marks \p Id as being dispatched. False if it is known already.
  bool begin(const ClaimId &Id, std::uint64_t Fingerprint, WallMs Issued);
  /// The attempt provably never reached a target: it may be begun again.
  void abandon(const ClaimId &Id);
  void finish(const ClaimId &Id, StoredResponse Answer);
  void finishUnknown(const ClaimId &Id);
  /// \p Id is never to be dispatched here: whether another daemon did is not
  /// known. What it was for does not matter.
  void markUnknown(const ClaimId &Id, WallMs Issued);
  /// Forgets keys whose window passed as of \p Now, which must be behind both
  /// the fold's clock and the wall's.
  void prune(WallMs Now);
  std::size_t size() const { return this->Rows.size(); }
  std::size_t bodyBytes() const { return this->BodyBytes; }

private:
  struct Row {
    IdempotencyState State{};
    /// Nothing where the request was not seen here.
    std::optional<std::uint64_t> Fingerprint;
    WallMs Issued;
    std::optional<StoredResponse> Answer;
  };
  std::size_t MaxBodyBytes;
  std::size_t BodyBytes = 0;
  std::unordered_map<ClaimId, Row, ClaimIdHash> Rows;
  std::multimap<WallMs, ClaimId> Ages;
  std::vector<ClaimId> BodyOrder;
  std::size_t BodyHead = 0;
};

/// Parts of an idempotency key. Callers write "<unix ms>-<anything>"; tickets
/// read "t-<unix ms>-<incarnation>-<number>".
struct IdempotencyKeyParts {
  WallMs Issued;
  /// The daemon that minted the ticket; empty for a caller's own key.
  IncarnationId Issuer;
};

absl::StatusOr<IdempotencyKeyParts> parseKey(const IdempotencyKey &Key);
IdempotencyKey makeTicket(WallMs Now, const IncarnationId &Issuer,
                          std::uint64_t Number);

} // namespace waycove
