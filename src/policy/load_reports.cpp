// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/load_reports.h"

#include <algorithm>

namespace waycove {

void TargetLoad::add(const TargetLoad &Other) {
  // Responses in progress tell more than requests that wait.
  if (this->InFlight == 0 || (this->Responding == 0 && Other.Responding > 0))
    this->SilentFor = Other.SilentFor;
  else if (Other.InFlight > 0 &&
           (this->Responding == 0) == (Other.Responding == 0))
    this->SilentFor = std::min(this->SilentFor, Other.SilentFor);
  double Samples = this->FirstByteMs > 0 ? this->InFlight + 1.0 : 0;
  double OtherSamples = Other.FirstByteMs > 0 ? Other.InFlight + 1.0 : 0;
  if (Samples + OtherSamples > 0)
    this->FirstByteMs =
        (this->FirstByteMs * Samples + Other.FirstByteMs * OtherSamples) /
        (Samples + OtherSamples);
  this->InFlight += Other.InFlight;
  this->Responding += Other.Responding;
  this->PromptWaiting += Other.PromptWaiting;
  this->LongestWait = std::max(this->LongestWait, Other.LongestWait);
  this->SuspectDuration =
      std::max(this->SuspectDuration, Other.SuspectDuration);
}

bool TargetLoad::isStalled() const {
  return this->Responding > 0 && this->SilentFor > StallTimeout;
}

bool TargetLoad::hasProgress() const {
  return this->Responding > 0 && this->SilentFor <= StallTimeout;
}

} // namespace waycove
