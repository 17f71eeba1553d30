// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/target_reach.h"

namespace waycove {

void TargetReach::add(Failures &To, const VmIncarnation &Target,
                      TimePoint Now) {
  std::erase_if(
      To, [&](const auto &Row) { return Now - Row.second >= FailureMaxAge; });
  To[Target] = Now;
  if (this->Current == State::Sound && Now >= this->NoDoubtUntil)
    this->updateDoubt();
}

void TargetReach::updateDoubt() {
  if (this->Current == State::CutOff)
    return;
  bool Doubtful = this->Unconnected.size() >= FailuresNeeded ||
                  this->Silent.size() >= FailuresNeeded;
  this->Current = Doubtful ? State::InDoubt : State::Sound;
}

void TargetReach::onNoConnection(const VmIncarnation &Target, TimePoint Now) {
  this->add(this->Unconnected, Target, Now);
}

void TargetReach::onNoBytes(const VmIncarnation &Target, TimePoint Now) {
  this->add(this->Silent, Target, Now);
}

void TargetReach::onConnected() {
  this->Unconnected.clear();
  this->updateDoubt();
}

void TargetReach::onBytes() {
  this->Silent.clear();
  this->updateDoubt();
}

void TargetReach::onProbeAnswered(TimePoint Now) {
  this->Unconnected.clear();
  this->Silent.clear();
  this->Current = State::Sound;
  this->Confirmed = false;
  this->NoDoubtUntil = Now + ProbePause;
}

void TargetReach::onProbeFailed(const VmIncarnation &Failed, OthersView View,
                                TimePoint Now) {
  if (this->Current != State::InDoubt)
    return;
  if (View == OthersView::Down) {
    this->Unconnected.erase(Failed);
    this->Silent.erase(Failed);
    return this->updateDoubt();
  }
  this->Current = State::CutOff;
  this->Confirmed = View == OthersView::Reachable;
  this->LostAt = Now;
}

std::optional<VmIncarnation> TargetReach::failedTarget() const {
  const Failures &Of =
      this->Unconnected.empty() ? this->Silent : this->Unconnected;
  return Of.empty() ? std::nullopt
                    : std::optional<VmIncarnation>(Of.begin()->first);
}

bool TargetReach::mayStillRespond(TimePoint Now) const {
  if (this->Current != State::CutOff)
    return true;
  return !this->Confirmed && this->Unconnected.empty() &&
         Now - this->LostAt < ShortSilence;
}

} // namespace waycove
