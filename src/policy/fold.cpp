// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/fold.h"

#include <algorithm>
#include <set>

namespace waycove {

namespace {

constexpr std::size_t MaxRecordBytes = 1 << 20;
constexpr std::size_t MaxCheckpointBytes = 256 << 20;
constexpr std::size_t MaxKeyBytes = 256;
/// Largest step of the clock by one record, so that a node with a wrong clock
/// cannot expire all keys.
constexpr std::uint64_t MaxClockStepMs = 24ULL * 3600 * 1000;

template <typename T>
std::string packTable(const typename T::NativeTableType &Row) {
  flatbuffers::FlatBufferBuilder Builder;
  Builder.Finish(T::Pack(Builder, &Row));
  return {reinterpret_cast<const char *>(Builder.GetBufferPointer()),
          Builder.GetSize()};
}

template <typename T>
const T *readTable(const std::string &Bytes, std::size_t MaxBytes) {
  if (Bytes.size() < 8 || Bytes.size() > MaxBytes)
    return nullptr;
  const auto *Data = reinterpret_cast<const std::uint8_t *>(Bytes.data());
  wire::AlignedVerifier Verifier(Data, Bytes.size(), 64, 16'000'000);
  if (!Verifier.VerifyBuffer<T>(nullptr))
    return nullptr;
  return flatbuffers::GetRoot<T>(Data);
}

} // namespace

std::string packRecord(const wire::RecordT &Record) {
  return packTable<wire::Record>(Record);
}

std::optional<wire::RecordT> unpackRecord(const std::string &Bytes) {
  const auto *Table = readTable<wire::Record>(Bytes, MaxRecordBytes);
  if (!Table)
    return std::nullopt;
  wire::RecordT Record;
  Table->UnPackTo(&Record);
  return Record;
}

FoldOutcome FoldState::fold(Offset At, const std::string &Bytes) {
  FoldOutcome Outcome;
  if (At != this->Next) {
    Outcome.Reason = "not the next record";
    return Outcome;
  }
  this->Next = At.next();
  this->LastRecord.clear();
  // 1. Parse. Damaged records are refused on every node alike.
  std::optional<wire::RecordT> Record = unpackRecord(Bytes);
  if (!Record) {
    Outcome.Reason = "unreadable record";
    return Outcome;
  }
  Outcome.RecordId = Record->id;
  this->LastRecord = Record->id;
  // 2. Advance the clock, which only ages idempotency keys.
  std::uint64_t MaxClock = this->Clock.Value + MaxClockStepMs;
  if (this->Clock.Value == 0)
    MaxClock = Record->written_ms;
  this->Clock =
      std::max(this->Clock, WallMs(std::min(Record->written_ms, MaxClock)));
  this->pruneClaims();
  // 3. Apply the change.
  if (const auto *Config = Record->change.AsConfigChange())
    this->foldConfig(*Config, WallMs(Record->written_ms), Outcome);
  else if (const auto *Formed = Record->change.AsGroupChange())
    this->foldGroup(*Formed, Outcome);
  else if (const auto *Batch = Record->change.AsClaimBatch())
    this->foldClaims(*Batch, Outcome);
  else
    Outcome.Reason = "unknown change";
  return Outcome;
}

void FoldState::foldConfig(const wire::ConfigChangeT &Change, WallMs Written,
                           FoldOutcome &Outcome) {
  std::optional<ObjectKind> Kind = kindFromName(Change.kind);
  if (!Kind) {
    Outcome.Reason = "unknown kind";
    return;
  }
  ObjectKey Key{*Kind, Change.name};
  // 1. Compare and set: the change must be based on the current revision.
  ObjectRef Present = this->object(Key);
  std::uint64_t Revision = Present ? Present->Revision : 0;
  if (Revision != Change.base) {
    Outcome.Reason = Key.text() + ": based on revision " +
                     std::to_string(Change.base) + ", but the present one is " +
                     std::to_string(Revision);
    return;
  }
  // 2. Removal.
  if (Change.removed) {
    if (!Present) {
      Outcome.Reason = Key.text() + ": not there";
      return;
    }
    if (const auto *Removed = Present->as<Workspace>())
      this->ByDigest.erase(Removed->KeyDigest);
    this->Objects.erase(Key);
    Outcome.Accepted = Outcome.TouchesRouting = true;
    Outcome.Reason = Key.text() + " removed";
    return;
  }
  // 3. Validate with the same code as `waycove check`.
  ValidationErrors Found;
  std::vector<Object> Parsed = parseObjects("object", Change.body, Found);
  if (!Found.empty() || Parsed.size() != 1 || Parsed[0].Key != Key) {
    Outcome.Reason = Found.empty() ? "body names another object" : Found.text();
    return;
  }
  if (const auto *Row = Parsed[0].as<Workspace>()) {
    ObjectRef Holder = this->workspaceByDigest(Row->KeyDigest);
    if (Holder && Holder->Key != Key) {
      Outcome.Reason = "another workspace has this key";
      return;
    }
  }
  // 4. Publish.
  Parsed[0].Revision = this->Next.Value;
  Parsed[0].Written = Written;
  this->putObject(std::make_shared<const Object>(std::move(Parsed[0])));
  Outcome.Accepted = Outcome.TouchesRouting = true;
  Outcome.Reason = Key.text() + " revision " + std::to_string(this->Next.Value);
}

void FoldState::putObject(ObjectRef Published) {
  if (ObjectRef Old = this->object(Published->Key))
    if (const auto *Replaced = Old->as<Workspace>())
      this->ByDigest.erase(Replaced->KeyDigest);
  if (const auto *New = Published->as<Workspace>())
    this->ByDigest[New->KeyDigest] = Published;
  this->Objects[Published->Key] = std::move(Published);
}

void FoldState::dropGroup(Fence Id) {
  auto At = this->Groups.find(Id);
  if (At == this->Groups.end())
    return;
  for (const VmId &Vm : At->second.Vms)
    this->Vms[Vm] = {this->Next.Value, Fence()};
  this->Slots.erase(At->second.Place);
  this->Groups.erase(At);
}

void FoldState::foldGroup(const wire::GroupChangeT &Change,
                          FoldOutcome &Outcome) {
  SlotKey Place{DeploymentId(Change.deployment),
                DataCentreId(Change.data_centre), Slot(Change.slot)};
  Fence Replaces(Change.replaces);
  // 1. The slot must hold the group that the proposer saw.
  const Group *Present = this->groupAt(Place);
  if ((Present ? Present->Id : Fence()) != Replaces) {
    Outcome.Reason = "the slot has another group";
    return;
  }
  // 2. Every VM must be unchanged since the proposer saw it, and in no other
  // group.
  std::set<std::string> Seen;
  for (const auto &Row : Change.vms) {
    Assignment Now = this->assignment(VmId(Row->vm));
    bool Free = Now.Group == Fence() || Now.Group == Replaces;
    if (Row->vm.empty() || !Seen.insert(Row->vm).second || !Free ||
        Now.Stamp != Row->seen) {
      Outcome.Reason = "VM " + Row->vm + " was assigned meanwhile";
      return;
    }
  }
  if (Change.vms.empty() && !Present) {
    Outcome.Reason = "nothing to dissolve";
    return;
  }
  // 3. The group must have the size that its deployment specifies.
  const auto *Spec =
      this->spec<Deployment>(ObjectKind::Deployment, Place.Deployment.Text);
  if (!Change.vms.empty() &&
      (!Spec || Spec->VmsPerReplica != Change.vms.size())) {
    Outcome.Reason = "not the number of VMs that the deployment asks for";
    return;
  }
  // 4. Dissolve the old group and form the new one atomically.
  this->dropGroup(Replaces);
  if (!Change.vms.empty()) {
    Group Formed{Fence(this->Next.Value), Place, DomainId(Change.domain), {}};
    for (const auto &Row : Change.vms) {
      Formed.Vms.emplace_back(Row->vm);
      this->Vms[VmId(Row->vm)] = {this->Next.Value, Formed.Id};
    }
    this->Slots[Place] = Formed.Id;
    this->Groups.emplace(Formed.Id, std::move(Formed));
  }
  Outcome.Accepted = Outcome.TouchesRouting = true;
  Outcome.Reason = Place.Deployment.Text + "/" +
                   std::to_string(Place.Index.Value) +
                   (Change.vms.empty() ? " dissolved" : " formed");
}

bool FoldState::isKeyTimeValid(WallMs Issued) const {
  auto Window = static_cast<std::uint64_t>(KeyWindow.count());
  auto Skew = static_cast<std::uint64_t>(KeySkew.count());
  return Issued.Value + Window > this->Clock.Value &&
         Issued.Value <= this->Clock.Value + Skew;
}

void FoldState::foldClaims(const wire::ClaimBatchT &Batch,
                           FoldOutcome &Outcome) {
  for (const auto &Row : Batch.claims) {
    ClaimId Id{WorkspaceId(Row->workspace), IdempotencyKey(Row->key)};
    WallMs Issued(Row->issued_ms);
    if (Row->key.size() > MaxKeyBytes || !this->isKeyTimeValid(Issued)) {
      Outcome.Holders.emplace_back();
      continue;
    }
    auto [At, Inserted] = this->Claims.try_emplace(
        Id, Claim{IncarnationId(Batch.dispatcher), Issued});
    if (Inserted)
      this->ClaimAges.emplace(Issued, Id);
    Outcome.Holders.push_back(At->second.Dispatcher);
  }
  Outcome.Accepted = true;
  Outcome.Reason = "claims";
}

/// Drops keys whose window has passed. The clock never goes back, so such a key
/// cannot be accepted again.
void FoldState::pruneClaims() {
  while (!this->ClaimAges.empty()) {
    auto Oldest = this->ClaimAges.begin();
    if (Oldest->first.Value + static_cast<std::uint64_t>(KeyWindow.count()) >
        this->Clock.Value)
      break;
    this->Claims.erase(Oldest->second);
    this->ClaimAges.erase(Oldest);
  }
}

ObjectRef FoldState::object(const ObjectKey &Key) const {
  auto At = this->Objects.find(Key);
  return At == this->Objects.end() ? nullptr : At->second;
}

Assignment FoldState::assignment(const VmId &Vm) const {
  auto At = this->Vms.find(Vm);
  return At == this->Vms.end() ? Assignment{} : At->second;
}

const Group *FoldState::group(Fence Id) const {
  auto At = this->Groups.find(Id);
  return At == this->Groups.end() ? nullptr : &At->second;
}

const Group *FoldState::groupAt(const SlotKey &Place) const {
  auto At = this->Slots.find(Place);
  return At == this->Slots.end() ? nullptr : this->group(At->second);
}

const Claim *FoldState::claim(const ClaimId &Id) const {
  auto At = this->Claims.find(Id);
  return At == this->Claims.end() ? nullptr : &At->second;
}

ObjectRef FoldState::workspaceByDigest(const std::string &Digest) const {
  auto At = this->ByDigest.find(Digest);
  return At == this->ByDigest.end() ? nullptr : At->second;
}

std::optional<Selector>
FoldState::resolve(const Selector &Own,
                   const std::vector<std::string> &Names) const {
  Selector Joined = Own;
  for (const std::string &Name : Names) {
    const auto *Row = this->spec<NamedSelector>(ObjectKind::Selector, Name);
    if (!Row)
      return std::nullopt;
    Joined.narrow(Row->Match);
  }
  return Joined;
}

wire::CheckpointT FoldState::saved() const {
  wire::CheckpointT Saved;
  Saved.next = this->Next.Value;
  Saved.clock_ms = this->Clock.Value;
  Saved.last_record = this->LastRecord;
  for (const auto &[Key, Row] : this->Objects) {
    auto Out = std::make_unique<wire::SavedObjectT>();
    Out->kind = kindName(Key.Kind);
    Out->name = Key.Name;
    Out->revision = Row->Revision;
    Out->written_ms = Row->Written.Value;
    Out->body = Row->Body;
    Saved.objects.push_back(std::move(Out));
  }
  for (const auto &[Id, Row] : this->Vms) {
    auto Out = std::make_unique<wire::SavedVmT>();
    Out->vm = Id.Text;
    Out->stamp = Row.Stamp;
    Out->group = Row.Group.Value;
    Saved.vms.push_back(std::move(Out));
  }
  std::sort(Saved.vms.begin(), Saved.vms.end(),
            [](const auto &L, const auto &R) { return L->vm < R->vm; });
  for (const auto &[Id, Row] : this->Groups) {
    auto Out = std::make_unique<wire::SavedGroupT>();
    Out->fence = Id.Value;
    Out->deployment = Row.Place.Deployment.Text;
    Out->data_centre = Row.Place.DataCentre.Text;
    Out->domain = Row.Domain.Text;
    Out->slot = static_cast<std::uint32_t>(Row.Place.Index.Value);
    for (const VmId &Vm : Row.Vms)
      Out->vms.push_back(Vm.Text);
    Saved.groups.push_back(std::move(Out));
  }
  for (const auto &[Id, Row] : this->Claims) {
    auto Out = std::make_unique<wire::SavedClaimT>();
    Out->workspace = Id.Workspace.Text;
    Out->key = Id.Key.Text;
    Out->issued_ms = Row.Issued.Value;
    Out->dispatcher = Row.Dispatcher.Text;
    Saved.claims.push_back(std::move(Out));
  }
  std::sort(Saved.claims.begin(), Saved.claims.end(),
            [](const auto &L, const auto &R) {
              return std::tie(L->workspace, L->key) <
                     std::tie(R->workspace, R->key);
            });
  return Saved;
}

std::uint64_t FoldState::digest() const {
  return hashText(packTable<wire::Checkpoint>(this->saved()));
}

std::string FoldState::save() const {
  wire::CheckpointT Saved = this->saved();
  Saved.digest = hashText(packTable<wire::Checkpoint>(Saved));
  return packTable<wire::Checkpoint>(Saved);
}

std::optional<CheckpointPosition> checkpointPosition(const std::string &Bytes) {
  const auto *Table = readTable<wire::Checkpoint>(Bytes, MaxCheckpointBytes);
  if (!Table)
    return std::nullopt;
  return CheckpointPosition{Offset(Table->next()),
                            Table->last_record() ? Table->last_record()->str()
                                                 : std::string()};
}

namespace {

/// Converts log positions to \p Era. Zero stands for none.
void convertToEra(StoreEra Era, wire::CheckpointT &Saved) {
  auto Convert = [Era](std::uint64_t &Count) {
    if (Count > 0 && eraOf(Count) < Era)
      Count = packPosition(Era, withoutEra(Count));
  };
  Saved.next = std::max(Saved.next, packPosition(Era, withoutEra(Saved.next)));
  for (auto &Row : Saved.objects)
    Convert(Row->revision);
  for (auto &Row : Saved.vms) {
    Convert(Row->stamp);
    Convert(Row->group);
  }
  for (auto &Row : Saved.groups)
    Convert(Row->fence);
}

} // namespace

absl::Status FoldState::load(const std::string &Bytes, StoreEra Era) {
  const auto *Table = readTable<wire::Checkpoint>(Bytes, MaxCheckpointBytes);
  if (!Table)
    return makeError(ErrorKind::Internal, "unreadable checkpoint");
  wire::CheckpointT Saved;
  Table->UnPackTo(&Saved);
  // 1. Refuse damaged and older checkpoints.
  std::uint64_t Digest = Saved.digest;
  Saved.digest = 0;
  if (hashText(packTable<wire::Checkpoint>(Saved)) != Digest)
    return makeError(ErrorKind::Internal, "checkpoint digest differs");
  convertToEra(Era, Saved);
  if (Saved.next < this->Next.Value)
    return makeError(ErrorKind::Internal, "checkpoint older than the state");
  // 2. Build a separate state, so that an invalid object leaves the current
  // state unchanged.
  FoldState Loaded;
  Loaded.Next = Offset(Saved.next);
  Loaded.LastRecord = Saved.last_record;
  Loaded.Clock = WallMs(Saved.clock_ms);
  for (const auto &Row : Saved.objects) {
    ValidationErrors Found;
    std::vector<Object> Parsed = parseObjects("object", Row->body, Found);
    if (!Found.empty() || Parsed.size() != 1)
      return makeError(ErrorKind::Internal, "checkpoint holds a bad object");
    Parsed[0].Revision = Row->revision;
    Parsed[0].Written = WallMs(Row->written_ms);
    Parsed[0].Body = Row->body;
    Loaded.putObject(std::make_shared<const Object>(std::move(Parsed[0])));
  }
  for (const auto &Row : Saved.vms)
    Loaded.Vms[VmId(Row->vm)] = {Row->stamp, Fence(Row->group)};
  for (const auto &Row : Saved.groups) {
    Group Formed{Fence(Row->fence),
                 {DeploymentId(Row->deployment), DataCentreId(Row->data_centre),
                  Slot(Row->slot)},
                 DomainId(Row->domain),
                 {}};
    for (const std::string &Vm : Row->vms)
      Formed.Vms.emplace_back(Vm);
    Loaded.Slots[Formed.Place] = Formed.Id;
    Loaded.Groups.emplace(Formed.Id, std::move(Formed));
  }
  for (const auto &Row : Saved.claims) {
    ClaimId Id{WorkspaceId(Row->workspace), IdempotencyKey(Row->key)};
    WallMs Issued(Row->issued_ms);
    Loaded.Claims[Id] = {IncarnationId(Row->dispatcher), Issued};
    Loaded.ClaimAges.emplace(Issued, Id);
  }
  *this = std::move(Loaded);
  return absl::OkStatus();
}

} // namespace waycove
