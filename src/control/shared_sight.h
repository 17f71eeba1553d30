// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"
#include "wire/wire_generated.h"

#include <mutex>

namespace waycove {

/// What nodes tell each other besides the feeds: what each sees of the targets,
/// what callers asked for, which requests end targets, and, within a data
/// centre, who renewed its share of the common work. It goes along with
/// questions and answers for news.
/// Thread-safe.
class SharedSight {
public:
  explicit SharedSight(EntryBoard &Board) : Board(Board) {}

  /// Adds what this node, and those that ask it, see, for \p Asked.
  void addTo(wire::NewsWantedT &Question, const NodeInfo &Asked,
             TimePoint Now) const;
  /// Takes in what the asker tells, and adds what all others see.
  void exchange(const wire::NewsWantedT &Question, wire::NewsT &Answer,
                TimePoint Now);
  /// Takes in the answer of \p From to a question that left at \p SentAt.
  void take(const wire::NewsT &Answer, const NodeId &From, TimePoint SentAt,
            TimePoint Now);
  /// Puts what all others see on the board.
  void publish(TimePoint Now);

private:
  TargetLoads ownLoads(TimePoint Now) const;
  DemandTable ownDemand() const;
  std::vector<wire::RenewalRow> renewals(TimePoint Now) const;
  /// What is to be told of requests that end targets: all of it, or what is
  /// new.
  CrashEvidenceMap crashes(bool All, TimePoint Now) const;
  void takeCrashes(const std::vector<std::unique_ptr<wire::CrashRowT>> &Rows,
                   TimePoint Now);
  void settleCrashes(TimePoint Now);
  void takeRenewals(const std::vector<wire::RenewalRow> &Rows, TimePoint From);

  EntryBoard &Board;
  mutable std::mutex Mutex;
  TargetLoadReports Loads;
  ReportAggregator<DemandTable> Demand;
  /// When each node that this one asks last told what ends targets.
  std::map<NodeId, TimePoint> CrashesHeard;
};

} // namespace waycove
