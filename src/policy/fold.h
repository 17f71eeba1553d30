// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/objects.h"
#include "wire/wire_generated.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace waycove {

/// What the log says about one VM. Stamp is one more than the offset of the
/// record that last changed its assignment; zero for a VM never assigned.
struct Assignment {
  std::uint64_t Stamp = 0;
  Fence Group;
};

struct SlotKey {
  DeploymentId Deployment;
  DataCentreId DataCentre;
  Slot Index;
  // The comparison that the compiler makes is no text of ours. NOLINTNEXTLINE
  auto operator<=>(const SlotKey &) const = default;
};

/// A group that the log has formed. Whether it serves is not said here.
struct Group {
  Fence Id;
  SlotKey Place;
  DomainId Domain;
  std::vector<VmId> Vms;
};

struct ClaimId {
  WorkspaceId Workspace;
  IdempotencyKey Key;
  bool operator==(const ClaimId &) const = default;
};

struct ClaimIdHash {
  std::size_t operator()(const ClaimId &Id) const {
    return mixHash(hashText(Id.Workspace.Text), hashText(Id.Key.Text));
  }
};

struct Claim {
  IncarnationId Dispatcher;
  WallMs Issued;
};

/// What became of one record.
struct FoldOutcome {
  std::string RecordId;
  bool Accepted = false;
  /// Why it was refused, or what it did.
  std::string Reason;
  /// For a claim batch: for each claim, the dispatcher that holds the key; an
  /// empty one says that the key is outside the validity window.
  std::vector<IncarnationId> Holders;
  bool TouchesRouting = false;
};

/// The state that the log's records make, folded in offset order by the same
/// rules on every node. Every effect that must be unique is decided here: the
/// first valid record wins, so no lease and no clock of a node decides
/// anything. Not thread-safe; knows no I/O.
class FoldState {
public:
  FoldState() = default;
  /// Nothing, before the record at \p First.
  explicit FoldState(Offset First) : Next(First) {}

  /// Takes in the record at \p At, which must be next(). A record that cannot
  /// be read is refused and counts as taken, alike on every node.
  FoldOutcome fold(Offset At, const std::string &Bytes);

  /// The offset of the first record not folded yet. Never goes back.
  Offset next() const { return this->Next; }
  /// Highest time that an accepted record carried.
  WallMs clock() const { return this->Clock; }

  ObjectRef object(const ObjectKey &Key) const;
  template <typename T>
  const T *spec(ObjectKind Kind, const std::string &Name) const {
    ObjectRef Found = this->object({Kind, Name});
    return Found ? Found->as<T>() : nullptr;
  }
  const std::map<ObjectKey, ObjectRef> &objects() const {
    return this->Objects;
  }
  Assignment assignment(const VmId &Vm) const;
  const Group *group(Fence Id) const;
  const Group *groupAt(const SlotKey &Place) const;
  const std::map<Fence, Group> &groups() const { return this->Groups; }
  const Claim *claim(const ClaimId &Id) const;
  std::size_t claimCount() const { return this->Claims.size(); }
  const std::unordered_map<ClaimId, Claim, ClaimIdHash> &claims() const {
    return this->Claims;
  }
  /// Workspace whose callers hold the key with this digest; null if none.
  ObjectRef workspaceByDigest(const std::string &Digest) const;
  /// True where \p Issued lies inside the validity window as of the fold.
  bool isKeyTimeValid(WallMs Issued) const;
  /// Joins \p Own and the named selectors; nothing where a name is unknown,
  /// for a selector that nobody defined allows nothing.
  std::optional<Selector> resolve(const Selector &Own,
                                  const std::vector<std::string> &Names) const;

  /// The whole state as a checkpoint, and back. Loading refuses (and changes
  /// nothing) on damage, and where the checkpoint is older than this state. One
  /// of an earlier era than \p Era is taken into that: its records are in the
  /// copy that the log came back from.
  std::string save() const;
  absl::Status load(const std::string &Bytes, StoreEra Era = StoreEra());
  std::uint64_t digest() const;

private:
  void foldConfig(const wire::ConfigChangeT &Change, WallMs Written,
                  FoldOutcome &Outcome);
  void foldGroup(const wire::GroupChangeT &Change, FoldOutcome &Outcome);
  void foldClaims(const wire::ClaimBatchT &Batch, FoldOutcome &Outcome);
  void pruneClaims();
  void putObject(ObjectRef Row);
  void dropGroup(Fence Id);
  wire::CheckpointT saved() const;

  Offset Next;
  /// Id of the record before Next; empty where that could not be read.
  std::string LastRecord;
  WallMs Clock;
  std::map<ObjectKey, ObjectRef> Objects;
  std::unordered_map<std::string, ObjectRef> ByDigest;
  std::unordered_map<VmId, Assignment> Vms;
  std::map<Fence, Group> Groups;
  std::map<SlotKey, Fence> Slots;
  std::unordered_map<ClaimId, Claim, ClaimIdHash> Claims;
  std::multimap<WallMs, ClaimId> ClaimAges;
};

/// How long a caller's idempotency key stays valid after the time it names.
constexpr Millis KeyWindow = std::chrono::hours(1);
/// How far a key's time may lie ahead of the fold's clock.
constexpr Millis KeySkew = std::chrono::minutes(5);

/// Where a checkpoint goes on, and the record before.
struct CheckpointPosition {
  Offset Next;
  std::string LastRecord;
};
/// Nothing where \p Bytes are no checkpoint.
std::optional<CheckpointPosition> checkpointPosition(const std::string &Bytes);

/// Serialises a record for the log.
std::string packRecord(const wire::RecordT &Record);
/// Reads a record; nothing where the bytes are no whole, valid record.
std::optional<wire::RecordT> unpackRecord(const std::string &Bytes);

} // namespace waycove
