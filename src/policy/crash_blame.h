// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/load_reports.h"

#include <map>
#include <set>
#include <unordered_set>
#include <vector>

namespace waycove {

/// Evidence against one content that was running at targets when they crashed.
struct CrashEvidence {
  /// How often it was answered completely after a target had crashed under it.
  /// Each time invalidates all earlier evidence.
  std::uint32_t TimesServed = 0;
  /// A node sent it once more, as a trial, after it was blamed.
  bool TrialDone = false;
  /// Targets that crashed under it since. Bounded: the smallest hashes are
  /// retained, so that all nodes retain the same ones.
  std::set<TargetHash> CrashedTargets;

  /// Merges the evidence of another node and returns true if anything changed.
  /// Commutative and idempotent.
  bool merge(const CrashEvidence &Other);
  // Defaulted by the compiler. NOLINTNEXTLINE
  bool operator==(const CrashEvidence &) const = default;

private:
  /// Crashes under a blamed request exonerate the requests that ran beside it,
  /// so more of them are retained than blaming takes.
  static constexpr std::size_t MaxCrashedTargets = 16;
};

using CrashEvidenceMap = std::map<ContentHash, CrashEvidence>;

/// Detects requests that crash the targets that run them. Such a request is
/// retried, at any node, with the same content, and is never answered. A crash
/// affects all requests that run at the target, and targets also crash by
/// themselves, so the detection is heuristic:
/// - a content is blamed after CrashesToBlame crashes without a complete
///   response in between; one that was answered before only after
///   CrashesToBlameServed;
/// - the content with the most crashes is blamed first, and the crashes that it
///   explains do not count against others;
/// - a content that is blamed on minimal evidence, or together with another one
///   that ran at all of the same crashes, is sent once more as a trial, by one
///   node.
///
/// Nodes exchange their evidence, and it merges to the same state on all of
/// them; it holds no timestamps of other machines. Not thread-safe.
class CrashBlame {
public:
  enum class Verdict { Allow, Trial, Refuse };
  /// Newly blamed contents with their evidence, and those no longer blamed.
  struct Changes {
    CrashEvidenceMap Blamed;
    std::vector<ContentHash> Cleared;
  };

  /// Decides whether a request may be sent. Trial: this node alone may send it
  /// once; the caller calls recordTrial() before it sends.
  Verdict judge(ContentHash Content, TimePoint Now) const;
  /// Records that the connection to \p Target ended during a request.
  void recordLost(ContentHash Content, const VmIncarnation &Target,
                  TimePoint Now);
  /// Records the same while it is in doubt whether this node reaches any
  /// target. It counts only after releaseHeldLosses().
  void holdLost(ContentHash Content, const VmIncarnation &Target,
                TimePoint Now) {
    this->Held.push_back({Content, Target, Now});
  }
  /// This node reaches targets: what was held counts.
  void releaseHeldLosses();
  /// This node had lost its links: drops what was held, and losses that are not
  /// resolved yet.
  void dropLosses();
  /// Records that a request was answered completely.
  void recordServed(ContentHash Content, TimePoint Now);
  void recordTrial(ContentHash Content, TimePoint Now);

  /// Counts each lost connection as a crash of its target unless \p
  /// LastProgress, called with the incarnation of the target, shows that it was
  /// alive afterwards. Call several times a second. Returns what changed since
  /// the last call.
  template <typename F> Changes resolveLosses(F LastProgress, TimePoint Now) {
    std::vector<Loss> Crashes;
    std::size_t Resolved = std::erase_if(this->Losses, [&](const Loss &Lost) {
      if (Now - Lost.At < ResolveDelay)
        return false;
      if (LastProgress(Lost.Target) <= Lost.At + LateReadDelay)
        Crashes.push_back(Lost);
      return true;
    });
    if (Resolved > 0)
      this->confirm(Crashes, Now);
    return this->takeChanges();
  }
  /// Merges the evidence of another node.
  void merge(const CrashEvidenceMap &Reported, TimePoint Now);
  /// Evidence that changed within ReportDuration, for nodes that exchange
  /// reports with this one continuously.
  CrashEvidenceMap recentRows(TimePoint Now) const;
  /// Evidence of blamed contents, to be persisted.
  CrashEvidenceMap blamedRows() const;
  /// All evidence, for a node that starts or was disconnected.
  CrashEvidenceMap allRows() const;

  /// Changes are reported to other nodes for this long: several report
  /// intervals.
  static constexpr Millis ReportDuration{1500};
  /// Crashes under a content after which it is blamed.
  static constexpr std::size_t CrashesToBlame = 3;
  /// The same for a content that was answered before. It is higher because a
  /// frequent request is lost several times in a row if several targets crash
  /// one after another for another reason.
  static constexpr std::size_t CrashesToBlameServed = 12;
  /// Maximum blamed contents that are persisted.
  static constexpr std::size_t MaxPersisted = 32;
  /// Maximum contents in the table.
  static constexpr std::size_t MaxContents = 1024;
  /// Maximum contents in one report.
  static constexpr std::size_t MaxReported = 256;

private:
  /// Time within which other connections show that a target is still alive.
  static constexpr Millis ResolveDelay{250};
  /// Bytes that a target sent before its crash may be read this much later.
  static constexpr Millis LateReadDelay{100};
  /// A trial starts this long after the last change of the evidence, when all
  /// nodes have it.
  static constexpr Millis TrialDelay{1500};

  struct Entry {
    CrashEvidence Evidence;
    TimePoint ChangedAt;
  };
  struct Loss {
    ContentHash Content;
    VmIncarnation Target;
    TimePoint At;
  };

  /// The contents answered most recently: between one and two times
  /// MaxRemembered of them.
  class ServedMemory {
  public:
    void add(ContentHash Content);
    bool contains(ContentHash Content) const {
      return this->Newer.contains(Content) || this->Older.contains(Content);
    }

  private:
    static constexpr std::size_t MaxRemembered = 4096;
    std::unordered_set<ContentHash> Newer;
    std::unordered_set<ContentHash> Older;
  };

  /// Returns at most \p Max of the rows that \p IsWanted selects: those with
  /// the most crashes, and of these the newest.
  template <typename F>
  CrashEvidenceMap pick(F IsWanted, std::size_t Max) const;
  bool mayRunTrial(ContentHash Content, TimePoint Now) const;
  std::size_t crashesNeeded(ContentHash Content) const;
  void confirm(const std::vector<Loss> &Crashes, TimePoint Now);
  /// Targets that crashed under a content, with losses not resolved yet.
  std::set<TargetHash> crashedTargetsOf(ContentHash Content) const;
  /// The same for all contents with enough crashes to be blamed.
  std::map<ContentHash, std::set<TargetHash>> evidence() const;
  void blame();
  void forget();
  Changes takeChanges();

  std::map<ContentHash, Entry> Rows;
  std::vector<Loss> Losses;
  std::vector<Loss> Held;
  ServedMemory Served;
  std::set<ContentHash> Blamed;
  /// The blamed contents at the last call of takeChanges.
  std::set<ContentHash> ReportedBlamed;
};

} // namespace waycove
