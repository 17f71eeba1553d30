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

/// Assignment of one VM by the log. Stamp is one more than the offset of the
/// record that last changed it; zero for a VM that was never assigned.
struct Assignment {
  std::uint64_t Stamp = 0;
  Fence Group;
};

/// Identifies a slot: the place of one replica of a deployment in a data
/// centre.
struct SlotKey {
  DeploymentId Deployment;
  DataCentreId DataCentre;
  Slot Index;
  // Defaulted by the compiler. NOLINTNEXTLINE
  auto operator<=>(const SlotKey &) const = default;
};

/// A group that the log has formed. Whether it serves is not part of this
/// state.
struct Group {
  Fence Id;
  SlotKey Place;
  DomainId Domain;
  std::vector<VmId> Vms;
};

/// Identifies a keyed request of a workspace.
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

/// The dispatcher that holds an idempotency key.
struct Claim {
  IncarnationId Dispatcher;
  WallMs Issued;
};

/// Result of folding one record.
struct FoldOutcome {
  std::string RecordId;
  bool Accepted = false;
  /// Why it was refused, or what it changed.
  std::string Reason;
  /// For a claim batch: the dispatcher that holds each key; empty if the key is
  /// outside the validity window.
  std::vector<IncarnationId> Holders;
  bool TouchesRouting = false;
};

/// The state produced by the records of the log, folded in offset order by the
/// same rules on every node. Effects that must be unique are decided here: the
/// first valid record wins, independent of leases and clocks of nodes. Performs
/// no I/O. Not thread-safe.
class FoldState {
public:
  FoldState() = default;
  /// An empty state, before the record at \p First.
  explicit FoldState(Offset First) : Next(First) {}

  /// Folds the record at \p At, which must be next(). An unreadable record is
  /// refused, but counts as folded, on every node alike.
  FoldOutcome fold(Offset At, const std::string &Bytes);

  /// Offset of the first record that is not folded yet. Never decreases.
  Offset next() const { return this->Next; }
  /// Highest time carried by a readable record; each record after the first
  /// advances it by at most 24 hours.
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
  /// Returns the workspace whose key has this digest, or null.
  ObjectRef workspaceByDigest(const std::string &Digest) const;
  /// Returns true if \p Issued lies inside the validity window by the clock of
  /// the fold.
  bool isKeyTimeValid(WallMs Issued) const;
  /// Combines \p Own with the named selectors. Empty if a name is unknown: an
  /// undefined selector allows nothing.
  std::optional<Selector> resolve(const Selector &Own,
                                  const std::vector<std::string> &Names) const;

  /// Saves the state as a checkpoint, and loads one. Loading fails, and changes
  /// nothing, if the checkpoint is damaged or older than this state. A
  /// checkpoint of an era before \p Era is converted to \p Era. Precondition:
  /// the copy that the log was restored from contains its records, which the
  /// caller checks (LogFollower).
  std::string save() const;
  absl::Status load(const std::string &Bytes, StoreEra Era = StoreEra());
  std::uint64_t digest() const;

private:
  void foldConfig(const wire::ConfigChangeT &Change, WallMs Written,
                  FoldOutcome &Outcome);
  void foldGroup(const wire::GroupChangeT &Change, FoldOutcome &Outcome);
  void foldClaims(const wire::ClaimBatchT &Batch, FoldOutcome &Outcome);
  void pruneClaims();
  void putObject(ObjectRef Published);
  void dropGroup(Fence Id);
  wire::CheckpointT saved() const;

  Offset Next;
  /// Id of the record before Next; empty if it was unreadable.
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

/// How long an idempotency key stays valid after the time that it names.
constexpr Millis KeyWindow = std::chrono::hours(1);
/// How far the time of a key may lie ahead of the clock of the fold.
constexpr Millis KeySkew = std::chrono::minutes(5);

/// Next offset of a checkpoint, and the id of the record before it.
struct CheckpointPosition {
  Offset Next;
  std::string LastRecord;
};
/// Returns nothing if \p Bytes are no checkpoint.
std::optional<CheckpointPosition> checkpointPosition(const std::string &Bytes);

/// Serializes a record for the log.
std::string packRecord(const wire::RecordT &Record);
/// Parses a record; returns nothing if the bytes are no complete, valid record.
std::optional<wire::RecordT> unpackRecord(const std::string &Bytes);

} // namespace waycove
