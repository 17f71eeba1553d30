// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "board/era_versions.h"

#include <algorithm>

namespace waycove {

void EraVersions::takePage(const EraMarks &Page, TimePoint At) {
  bool First = !this->Era;
  if (First || Page.Era > *this->Era)
    this->begin(Page.Era);
  else if (Page.Era < *this->Era)
    return;
  bool Written = !First && this->Shown > ValueVersion() &&
                 Page.Versions.Shown > this->Shown;
  this->Shown = std::max(this->Shown, Page.Versions.Shown);
  this->noteBefore(Page);
  if (Written || Page.Versions.Settled || Page.Era == this->SettledEra)
    this->settleNow(At);
}

void EraVersions::begin(StoreEra Begun) {
  this->Era = Begun;
  this->Before = std::max(this->Before, this->Shown);
  this->Shown = ValueVersion();
  this->SettledAt.reset();
}

void EraVersions::settleNow(TimePoint At) {
  this->SettledAt = this->SettledAt ? std::min(*this->SettledAt, At) : At;
}

/// What was shown in an earlier era was known before this one.
void EraVersions::noteBefore(const EraMarks &Told) {
  this->Before = std::max(this->Before, Told.Versions.Before);
  if (Told.Era < *this->Era)
    this->Before = std::max(this->Before, Told.Versions.Shown);
}

void EraVersions::hear(const EraMarks &Told, TimePoint Now) {
  // A node that knows nothing takes no part of it for all.
  if (!this->Era || Told.Era > *this->Era)
    return;
  this->noteBefore(Told);
  if (Told.Era == *this->Era && Told.Versions.Settled)
    this->settleNow(Now);
}

void EraVersions::settle(StoreEra Of, TimePoint At) {
  this->SettledEra = std::max(this->SettledEra, Of);
  if (this->Era == this->SettledEra)
    this->settleNow(At);
}

EraMarks EraVersions::marks(TimePoint ProvenAt) const {
  bool Settled = this->SettledAt && ProvenAt >= *this->SettledAt;
  return {this->Era.value_or(StoreEra()), {this->Shown, this->Before, Settled}};
}

} // namespace waycove
