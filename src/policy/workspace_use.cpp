// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/workspace_use.h"

#include <algorithm>
#include <cmath>

namespace waycove {

namespace {

/// About as long as an overload is felt, so that a workspace that was large a
/// minute ago has no disadvantage now.
constexpr double HalfLifeSeconds = 5;
/// Rows below this, in tokens, make no difference.
constexpr double MinWork = 1;

} // namespace

double WorkspaceUse::decayed(const Row &Used, TimePoint Now) {
  double Age = std::chrono::duration<double>(Now - Used.At).count();
  return Used.Work * std::exp2(-std::max(Age, 0.0) / HalfLifeSeconds);
}

void WorkspaceUse::add(const WorkspaceId &Workspace, Tokens Work,
                       TimePoint Now) {
  Row &Used = this->Rows[Workspace];
  Used = {decayed(Used, Now) + static_cast<double>(Work.Value), Now};
  if (this->Rows.size() >= this->SweepSize)
    this->forgetSmall(Now);
}

double WorkspaceUse::of(const WorkspaceId &Workspace, TimePoint Now) const {
  auto At = this->Rows.find(Workspace);
  return At == this->Rows.end() ? 0 : decayed(At->second, Now);
}

void WorkspaceUse::forgetSmall(TimePoint Now) {
  std::erase_if(this->Rows, [&](const auto &Entry) {
    return decayed(Entry.second, Now) < MinWork;
  });
  this->SweepSize = std::max(this->SweepSize, 2 * this->Rows.size());
}

} // namespace waycove
