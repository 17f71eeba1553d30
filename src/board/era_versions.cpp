// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "board/era_versions.h"

#include <algorithm>

namespace waycove {

void EraVersions::mergePage(const EraMarks &Page, TimePoint At) {
  bool First = !this->Era;
  if (First || Page.Era > *this->Era)
    this->beginEra(Page.Era);
  else if (Page.Era < *this->Era)
    return;
  bool IsWritten = !First && this->Current > ValueVersion() &&
                   Page.Versions.Current > this->Current;
  this->Current = std::max(this->Current, Page.Versions.Current);
  this->mergePrevious(Page);
  if (IsWritten || Page.Versions.Settled || Page.Era == this->SettledEra)
    this->markSettled(At);
}

void EraVersions::beginEra(StoreEra Begun) {
  this->Era = Begun;
  this->Previous = std::max(this->Previous, this->Current);
  this->Current = ValueVersion();
  this->SettledAt.reset();
}

void EraVersions::markSettled(TimePoint At) {
  this->SettledAt = this->SettledAt ? std::min(*this->SettledAt, At) : At;
}

/// Merges versions known before this era, including the current version of an
/// earlier era.
void EraVersions::mergePrevious(const EraMarks &Received) {
  this->Previous = std::max(this->Previous, Received.Versions.Previous);
  if (Received.Era < *this->Era)
    this->Previous = std::max(this->Previous, Received.Versions.Current);
}

void EraVersions::mergeMarks(const EraMarks &Received, TimePoint Now) {
  // A node without a page of this era has nothing to merge the marks into.
  if (!this->Era || Received.Era > *this->Era)
    return;
  this->mergePrevious(Received);
  if (Received.Era == *this->Era && Received.Versions.Settled)
    this->markSettled(Now);
}

void EraVersions::settle(StoreEra Settled, TimePoint At) {
  this->SettledEra = std::max(this->SettledEra, Settled);
  if (this->Era == this->SettledEra)
    this->markSettled(At);
}

EraMarks EraVersions::marks(TimePoint ProvenAt) const {
  bool Settled = this->SettledAt && ProvenAt >= *this->SettledAt;
  return {this->Era.value_or(StoreEra()),
          {this->Current, this->Previous, Settled}};
}

} // namespace waycove
