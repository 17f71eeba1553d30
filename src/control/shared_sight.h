// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"
#include "wire/wire_generated.h"

#include <mutex>

namespace waycove {

/// What nodes tell each other besides the feeds: what each sees of the targets,
/// what callers asked for, and, within a data centre, who renewed its share of
/// the common work. It goes along with questions and answers for news.
/// Thread-safe.
class SharedSight {
public:
  explicit SharedSight(EntryBoard &Board) : Board(Board) {}

  /// Adds what this node, and those that ask it, see.
  void addTo(wire::NewsWantedT &Question, const DataCentreId &AskedCentre,
             TimePoint Now) const;
  /// Takes in what the asker tells, and adds what all others see.
  void exchange(const wire::NewsWantedT &Question, wire::NewsT &Answer,
                TimePoint Now);
  /// Takes in an answer to a question that left at \p SentAt.
  void take(const wire::NewsT &Answer, TimePoint SentAt, TimePoint Now);
  /// Puts what all others see on the board.
  void publish(TimePoint Now);

private:
  LoadRows ownLoads(TimePoint Now) const;
  DemandTable ownDemand() const;
  std::vector<wire::RenewalRow> renewals(TimePoint Now) const;
  void takeRenewals(const std::vector<wire::RenewalRow> &Rows, TimePoint From);

  EntryBoard &Board;
  mutable std::mutex Mutex;
  LoadBook Loads;
  ReportBook<DemandTable> Demand;
};

} // namespace waycove
