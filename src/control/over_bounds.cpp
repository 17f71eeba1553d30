// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/over_bounds.h"

namespace waycove {

namespace {

/// About as long as targets in trouble are, or until the registry drops them.
constexpr Millis AvoidDuration{4000};

} // namespace

void reportOverBounds(EntryBoard &Board, const VmIncarnation &Target,
                      const std::string &During, const std::string &Reason) {
  TimePoint Now = SystemClock{}.now();
  Board.Counters.add(Counter::AnswersOverBounds);
  Board.TargetStats.write([&](TargetStatsTable &Stats) {
    Stats.suspect(Target, Now, AvoidDuration);
  });
  if (Board.OverBoundsLines.isDue(Now))
    Board.Log.emit(EventCode::AnswerOverBounds, Target.Id.Text,
                   LogFields()
                       .add("during", During)
                       .add("reason", Reason)
                       .add("for_ms", AvoidDuration));
}

} // namespace waycove
