// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "board/era_versions.h"

#include <algorithm>

namespace waycove {

void EraVersions::mergePage(const EraMarks &Page, TimePoint At) {
  bool First = !this->Era;
  if (First || Page.Era > *this->Era)
    this->begin(Page.Era);
  else if (Page.Era < *this->Era)
    return;
  bool Written = !First && this->Current > ValueVersion() &&
                 Page.Versions.Current > this->Current;
  this->Current = std::max(this->Current, Page.Versions.Current);
  this->mergePrevious(Page);
  if (Written || Page.Versions.Settled || Page.Era == this->SettledEra)
    this->markSettled(At);
}

void EraVersions::begin(StoreEra Begun) {
  this->Era = Begun;
  this->Previous = std::max(this->Previous, this->Current);
  this->Current = ValueVersion();
  this->SettledAt.reset();
}

void EraVersions::markSettled(TimePoint At) {
  this->SettledAt = this->SettledAt ? std::min(*this->SettledAt, At) : At;
}

/// What was shown in an earlier era was known before this one.
void EraVersions::mergePrevious(const EraMarks &Told) {
  this->Previous = std::max(this->Previous, Told.Versions.Previous);
  if (Told.Era < *this->Era)
    this->Previous = std::max(this->Previous, Told.Versions.Current);
}

void EraVersions::mergeMarks(const EraMarks &Told, TimePoint Now) {
  // A node that knows nothing takes no part of it for all.
  if (!this->Era || Told.Era > *this->Era)
    return;
  this->mergePrevious(Told);
  if (Told.Era == *this->Era && Told.Versions.Settled)
    this->markSettled(Now);
}

void EraVersions::settle(StoreEra Of, TimePoint At) {
  this->SettledEra = std::max(this->SettledEra, Of);
  if (this->Era == this->SettledEra)
    this->markSettled(At);
}

EraMarks EraVersions::marks(TimePoint ProvenAt) const {
  bool Settled = this->SettledAt && ProvenAt >= *this->SettledAt;
  return {this->Era.value_or(StoreEra()),
          {this->Current, this->Previous, Settled}};
}

} // namespace waycove
