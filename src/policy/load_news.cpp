// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/load_news.h"

#include <algorithm>

namespace waycove {

void TargetLoad::add(const TargetLoad &Other) {
  // Answers that move show more than requests that wait.
  if (this->InFlight == 0 || (this->Answering == 0 && Other.Answering > 0))
    this->Silent = Other.Silent;
  else if (Other.InFlight > 0 &&
           (this->Answering == 0) == (Other.Answering == 0))
    this->Silent = std::min(this->Silent, Other.Silent);
  double Samples = this->FirstByteMs > 0 ? this->InFlight + 1.0 : 0;
  double OtherSamples = Other.FirstByteMs > 0 ? Other.InFlight + 1.0 : 0;
  if (Samples + OtherSamples > 0)
    this->FirstByteMs =
        (this->FirstByteMs * Samples + Other.FirstByteMs * OtherSamples) /
        (Samples + OtherSamples);
  this->InFlight += Other.InFlight;
  this->Answering += Other.Answering;
  this->PromptWaiting += Other.PromptWaiting;
  this->Waiting = std::max(this->Waiting, Other.Waiting);
  this->Suspect = std::max(this->Suspect, Other.Suspect);
}

bool TargetLoad::standsStill() const {
  return this->Answering > 0 && this->Silent > StillTime;
}

bool TargetLoad::moves() const {
  return this->Answering > 0 && this->Silent <= StillTime;
}

} // namespace waycove
