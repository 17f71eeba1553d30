// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/start_times.h"

namespace waycove {

bool StartTimes::isPlausible(WallMs StartedAt, WallMs Now) {
  constexpr auto Ahead = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(MaxAhead).count());
  return StartedAt.Value <= Now.Value + Ahead;
}

void StartTimes::onEntry(const VmId &Id, WallMs StartedAt) {
  this->onGone(Id);
  const bool IsStated = StartedAt != WallMs();
  this->Entries.emplace(Id, IsStated);
  this->Stated += IsStated ? 1 : 0;
}

void StartTimes::onGone(const VmId &Id) {
  auto At = this->Entries.find(Id);
  if (At == this->Entries.end())
    return;
  this->Stated -= At->second ? 1 : 0;
  this->Entries.erase(At);
}

void StartTimes::clear() {
  this->Entries.clear();
  this->Stated = 0;
}

bool StartTimes::areStated() const {
  return this->Stated > 0 &&
         this->Stated >= this->Entries.size() - this->Stated;
}

} // namespace waycove
