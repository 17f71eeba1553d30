// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/rewrite.h"

#include <algorithm>

namespace waycove {

namespace {

/// As in other claim batches.
constexpr std::size_t MostClaims = 512;

wire::RecordT configRecord(const ObjectKey &Key, std::uint64_t Base,
                           WallMs Written) {
  wire::ConfigChangeT Change;
  Change.kind = kindName(Key.Kind);
  Change.name = Key.Name;
  Change.base = Base;
  wire::RecordT Record;
  Record.id = randomId();
  Record.written_ms = Written.Value;
  Record.change.Set(std::move(Change));
  return Record;
}

void addObjects(const FoldState &Before, const FoldState &Now,
                std::vector<wire::RecordT> &Out) {
  for (const auto &[Key, Old] : Before.objects()) {
    ObjectRef Present = Now.object(Key);
    if (Present &&
        (Present->Body == Old->Body || Present->Written > Old->Written))
      continue;
    Out.push_back(
        configRecord(Key, Present ? Present->Revision : 0, Old->Written));
    Out.back().change.AsConfigChange()->body = Old->Body;
  }
}

/// Objects in the copy that did not exist before the restore had been removed,
/// unless they were published later.
void addRemovals(const FoldState &Before, const FoldState &Now,
                 std::vector<wire::RecordT> &Out) {
  for (const auto &[Key, Present] : Now.objects()) {
    if (Before.object(Key) || Present->Written > Before.clock())
      continue;
    Out.push_back(configRecord(Key, Present->Revision, Before.clock()));
    Out.back().change.AsConfigChange()->removed = true;
  }
}

std::unique_ptr<wire::ClaimKeyT> claimRow(const ClaimId &Id,
                                          const Claim &Held) {
  auto Row = std::make_unique<wire::ClaimKeyT>();
  Row->workspace = Id.Workspace.Text;
  Row->key = Id.Key.Text;
  Row->issued_ms = Held.Issued.Value;
  return Row;
}

void addClaims(const FoldState &Before, const FoldState &Now,
               std::vector<wire::RecordT> &Out) {
  std::map<IncarnationId, std::vector<wire::ClaimBatchT>> Lost;
  for (const auto &[Id, Held] : Before.claims()) {
    if (Now.claim(Id))
      continue;
    std::vector<wire::ClaimBatchT> &Batches = Lost[Held.Dispatcher];
    if (Batches.empty() || Batches.back().claims.size() >= MostClaims)
      Batches.emplace_back().dispatcher = Held.Dispatcher.Text;
    Batches.back().claims.push_back(claimRow(Id, Held));
  }
  for (auto &[Dispatcher, Batches] : Lost)
    for (wire::ClaimBatchT &Batch : Batches) {
      wire::RecordT Record;
      Record.id = randomId();
      Record.written_ms = Before.clock().Value;
      Record.change.Set(std::move(Batch));
      Out.push_back(std::move(Record));
    }
}

bool isClaimed(const wire::ClaimKeyT &Row, const FoldState &Now) {
  return !Now.isKeyTimeValid(WallMs(Row.issued_ms)) ||
         Now.claim({WorkspaceId(Row.workspace), IdempotencyKey(Row.key)});
}

} // namespace

std::vector<wire::RecordT> lostRecords(const FoldState &Before,
                                       const FoldState &Now) {
  std::vector<wire::RecordT> Lost;
  // Removals first, since a key may have moved from one workspace to another.
  addRemovals(Before, Now, Lost);
  addObjects(Before, Now, Lost);
  addClaims(Before, Now, Lost);
  return Lost;
}

bool isSettled(const wire::RecordT &Record, const FoldState &Now) {
  if (const auto *Change = Record.change.AsConfigChange()) {
    ObjectRef Present = Now.object({*kindFromName(Change->kind), Change->name});
    return (Present ? Present->Revision : 0) != Change->base;
  }
  const wire::ClaimBatchT &Batch = *Record.change.AsClaimBatch();
  return std::all_of(Batch.claims.begin(), Batch.claims.end(),
                     [&](const auto &Row) { return isClaimed(*Row, Now); });
}

} // namespace waycove
