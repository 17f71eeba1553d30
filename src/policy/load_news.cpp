// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/load_news.h"

#include <algorithm>

namespace waycove {

namespace {

void addAll(LoadRows &Into, const LoadRows &Rows) {
  for (const auto &[Target, Load] : Rows)
    Into[Target].add(Load);
}

} // namespace

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

void LoadBook::report(const NodeId &From, LoadRows Rows, TimePoint Now) {
  this->Reports[From] = {std::move(Rows), Now, false};
}

void LoadBook::reportCentre(const NodeId &From, LoadRows Rows, TimePoint Now) {
  this->Reports[From] = {std::move(Rows), Now, true};
}

void LoadBook::tell(LoadRows Rows, TimePoint Now) {
  this->Told = {std::move(Rows), Now, false};
}

LoadRows LoadBook::upward(const LoadRows &Own, TimePoint Now) const {
  LoadRows Sum = Own;
  for (const auto &[Node, Row] : this->Reports)
    if (!Row.OtherCentre && Now - Row.At < NewsTime)
      addAll(Sum, Row.Rows);
  return Sum;
}

LoadRows LoadBook::downward(const LoadRows &Own, const NodeId &Asker,
                            TimePoint Now) const {
  LoadRows Sum = Own;
  for (const auto &[Node, Row] : this->Reports)
    if (Node != Asker && Now - Row.At < NewsTime)
      addAll(Sum, Row.Rows);
  if (Now - this->Told.At < NewsTime)
    addAll(Sum, this->Told.Rows);
  return Sum;
}

LoadRows LoadBook::others(TimePoint Now) const {
  return this->downward({}, NodeId(), Now);
}

} // namespace waycove
