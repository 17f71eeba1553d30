// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/crash_suspect.h"
#include "policy/load_reports.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace waycove {

/// Evidence against one suspect that was running at targets when they crashed.
struct CrashEvidence {
  /// How often it was served after a target had crashed under it. Each time
  /// invalidates all earlier evidence.
  std::uint32_t TimesServed = 0;
  /// A node sent it once more, as a trial, after it was blamed.
  bool TrialDone = false;
  /// Targets that crashed under it since. Bounded: the smallest hashes are
  /// retained, so that all nodes retain the same ones.
  std::set<TargetHash> CrashedTargets;
  /// A node that lost it had served it before.
  bool ServedBefore = false;
  /// A target crashed under a request that was sent when an earlier crash was
  /// known.
  bool Recurred = false;

  /// Merges the evidence of another node and returns true if anything changed.
  /// Commutative and idempotent.
  bool merge(const CrashEvidence &Other);
  bool wasServed() const { return this->ServedBefore || this->TimesServed > 0; }
  // Defaulted by the compiler. NOLINTNEXTLINE
  bool operator==(const CrashEvidence &) const = default;

private:
  /// Crashes under a blamed suspect exonerate those that ran beside it, so more
  /// of them are retained than blaming takes.
  static constexpr std::size_t MaxCrashedTargets = 16;
};

using CrashEvidenceMap = std::map<CrashSuspect, CrashEvidence>;

/// The evidence that a node holds, by suspect. Each kind of suspect has bounds
/// of its own, so that requests that never come again do not displace parts.
/// Not thread-safe.
class CrashEvidenceTable {
public:
  struct Row {
    CrashEvidence Evidence;
    TimePoint ChangedAt;
    /// When this node learned of the first of its crashes.
    TimePoint SuspectSince;
    /// A trial of this node is under way in this time, unless it ends earlier.
    TimePoint TrialSince;
    TimePoint TrialUntil;
    /// Trials that this node has begun.
    unsigned Trials = 0;
  };

  /// Merges evidence on a suspect. Returns true if anything changed.
  bool merge(const CrashSuspect &Suspect, const CrashEvidence &Evidence,
             TimePoint Now);
  /// The suspect was served: clears its evidence. Returns true if there was
  /// any.
  bool clear(const CrashSuspect &Suspect, TimePoint Now);
  /// Drops the rows with the weakest and oldest evidence above MaxRows of a
  /// kind.
  void forget();
  /// Returns null if nothing is known.
  const Row *find(const CrashSuspect &Suspect) const;
  Row *find(const CrashSuspect &Suspect);
  const std::map<CrashSuspect, Row> &rows() const { return this->Rows; }

  /// Returns at most \p Max rows of each kind that \p IsWanted selects: those
  /// with the most crashes, and of these the newest.
  template <typename F>
  CrashEvidenceMap pick(F IsWanted, std::size_t Max) const {
    CrashEvidenceMap Picked;
    for (SuspectKind Kind : {SuspectKind::Request, SuspectKind::PromptPart}) {
      std::vector<SortKey> Order = this->order(Kind, IsWanted);
      std::size_t Skipped = Order.size() - std::min(Order.size(), Max);
      for (std::size_t I = Skipped; I < Order.size(); ++I) {
        const CrashSuspect &Suspect = std::get<CrashSuspect>(Order[I]);
        Picked[Suspect] = this->Rows.at(Suspect).Evidence;
      }
    }
    return Picked;
  }

  /// Maximum rows of one kind of suspect.
  static constexpr std::size_t MaxRows = 1024;

private:
  /// Weakest evidence first: the number of crashes, the last change and the
  /// suspect.
  using SortKey = std::tuple<std::size_t, TimePoint, CrashSuspect>;
  template <typename F>
  std::vector<SortKey> order(SuspectKind Kind, F IsWanted) const {
    std::vector<SortKey> Order;
    for (const auto &[Suspect, Known] : this->Rows)
      if (Suspect.Kind == Kind && IsWanted(Suspect, Known))
        Order.emplace_back(Known.Evidence.CrashedTargets.size(),
                           Known.ChangedAt, Suspect);
    std::sort(Order.begin(), Order.end());
    return Order;
  }

  std::map<CrashSuspect, Row> Rows;
};

} // namespace waycove
