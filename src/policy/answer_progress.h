// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/clock.h"

namespace waycove {

/// Tells an answer that moves on from bytes that are none. Load: a target in
/// trouble sends bytes without end that never make up a head, a part of a body
/// or an event, slowly enough to stay below each bound on bytes. They would
/// hold a request until its deadline, since its target is never silent.
class AnswerProgress {
public:
  AnswerProgress() = default;
  explicit AnswerProgress(TimePoint SentAt) : At(SentAt), LastByte(SentAt) {}

  /// Bytes have arrived.
  void onBytes(TimePoint Now) {
    this->LastByte = Now;
    if (!this->HasUnused)
      this->FirstUnused = Now;
    this->HasUnused = true;
  }
  /// The bytes so far have completed something of the answer.
  void onProgress() {
    this->At = this->LastByte;
    this->HasUnused = false;
  }
  /// When the answer last moved on; at first, when its request was sent.
  TimePoint lastAt() const { return this->At; }
  /// Whether bytes have come for \p Patience without any of them moving the
  /// answer on. \p RunningTime tells how long this node has run between two
  /// moments.
  template <typename F>
  bool isNoAnswer(Millis Patience, const F &RunningTime) const {
    return this->HasUnused && this->LastByte - this->FirstUnused >= Patience &&
           RunningTime(this->FirstUnused, this->LastByte) >= Patience;
  }

private:
  TimePoint At;
  TimePoint LastByte;
  /// Bytes have arrived since then, the first ones at FirstUnused.
  bool HasUnused = false;
  TimePoint FirstUnused;
};

} // namespace waycove
