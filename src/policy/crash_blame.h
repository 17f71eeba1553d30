// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/crash_culprits.h"
#include "policy/crash_evidence.h"
#include "policy/target_stats.h"

#include <set>
#include <unordered_set>
#include <vector>

namespace waycove {

/// Detects requests that crash the targets that run them: by a request that is
/// retried, at any node, with the same content, or by a part of the prompt that
/// requests share which differ in all else. Such a request is never answered. A
/// crash affects all requests that run at the target, and targets also crash by
/// themselves, so the detection is heuristic; see findCulprits(). A culprit
/// that is blamed on little evidence is sent once more as a trial, by one node.
///
/// Nodes exchange their evidence, and it merges to the same state on all of
/// them; it holds no timestamps of other machines. Not thread-safe.
class CrashBlame {
public:
  enum class Verdict { Allow, Trial, Refuse };
  struct Judgement {
    Verdict Found = Verdict::Allow;
    /// Identifies the culprit that the request contains, the same on all nodes.
    ContentHash Culprit;
  };
  struct BlamedCulprit {
    Culprit Suspects;
    /// Of the first suspect.
    CrashEvidence Evidence;
  };
  /// Newly blamed culprits, and those no longer blamed.
  struct Changes {
    std::vector<BlamedCulprit> Blamed;
    std::vector<Culprit> Cleared;
  };

  /// Decides whether a request may be sent. Trial: this node alone may send it
  /// once; the caller calls recordTrial() before it sends.
  Judgement judge(const CrashSuspects &Request, TimePoint Now) const;
  /// Records that the connection to \p Target ended during a request that was
  /// sent at \p SentAt.
  void recordLost(const CrashSuspects &Request, const VmIncarnation &Target,
                  TimePoint SentAt, TimePoint Now);
  /// Records the same while it is in doubt whether this node reaches any
  /// target. It counts only after releaseHeldLosses().
  void holdLost(const CrashSuspects &Request, const VmIncarnation &Target,
                TimePoint SentAt, TimePoint Now) {
    this->Held.push_back({Request, Target, SentAt, Now});
  }
  /// This node reaches targets: what was held counts.
  void releaseHeldLosses();
  /// This node had lost its links: drops what was held, and losses that are not
  /// resolved yet.
  void dropLosses();
  /// Records that a request was answered completely.
  void recordServed(const CrashSuspects &Request, TimePoint Now);
  /// Records the same if the end of the connection was all that ended the
  /// response: the target may have crashed. It counts unless other requests
  /// show within EndedDelay that it did.
  void recordEnded(const CrashSuspects &Request, const VmIncarnation &Target,
                   TimePoint Now) {
    this->Ended.push_back({Request, Target, Now, Now});
  }
  void recordTrial(const CrashSuspects &Request, TimePoint Now);

  /// Counts each lost connection as a crash of its target unless \p
  /// LastProgress, called with the incarnation of the target, shows that it was
  /// alive afterwards. \p RunningTime returns for how long this node has run
  /// between two times: while it stands still it reads nothing. Call several
  /// times a second. Returns what changed since the last call.
  template <typename F, typename G>
  Changes resolveLosses(F LastProgress, G RunningTime, TimePoint Now) {
    std::vector<Loss> Crashes;
    std::size_t Resolved = std::erase_if(this->Losses, [&](const Loss &Lost) {
      if (RunningTime(Lost.At, Now) < ResolveDelay)
        return false;
      if (LastProgress(Lost.Target) <= Lost.At + LateReadDelay)
        Crashes.push_back(Lost);
      return true;
    });
    if (Resolved > 0)
      this->confirm(Crashes, Now);
    this->resolveEnded(Now);
    return this->takeChanges();
  }
  /// The same for a node that has run all the time.
  template <typename F> Changes resolveLosses(F LastProgress, TimePoint Now) {
    return this->resolveLosses(
        LastProgress,
        [](TimePoint From, TimePoint Until) { return Until - From; }, Now);
  }
  /// Merges the evidence of another node.
  void merge(const CrashEvidenceMap &Reported, TimePoint Now);
  /// Evidence that changed within ReportDuration, for nodes that exchange
  /// reports with this one continuously.
  CrashEvidenceMap recentRows(TimePoint Now) const;
  /// Evidence of blamed suspects, to be persisted.
  CrashEvidenceMap blamedRows() const;
  /// All evidence, for a node that starts or was disconnected.
  CrashEvidenceMap allRows() const;
  /// Number of culprits that are blamed.
  std::size_t blamedCount() const { return this->Blamed.size(); }

  /// Changes are reported to other nodes for this long: several report
  /// intervals.
  static constexpr Millis ReportDuration{1500};
  /// Maximum blamed suspects of each kind that are persisted.
  static constexpr std::size_t MaxPersisted = 32;
  /// Maximum suspects of each kind in one report.
  static constexpr std::size_t MaxReported = 256;

private:
  /// Time within which other connections show that a target is still alive.
  static constexpr Millis ResolveDelay{250};
  /// The same for responses that ended with their connection: until the other
  /// nodes have reported a crash.
  static constexpr Millis EndedDelay{1500};
  /// A trial starts this long after the last change of the evidence, when all
  /// nodes have it.
  static constexpr Millis TrialDelay{1500};
  /// A trial that has shown nothing by then, e.g. as its caller left, is
  /// repeated; each time after RepeatFactor times as long, since trials that
  /// reach a target may add up.
  static constexpr Millis TrialDuration{10000};
  static constexpr unsigned RepeatFactor = 4;
  static constexpr unsigned MaxRepeatDelays = 5;

  /// A request whose connection ended.
  struct Loss {
    CrashSuspects Suspects;
    VmIncarnation Target;
    TimePoint SentAt;
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

  /// How long a trial counts as under way after \p Before earlier ones.
  static Millis trialDuration(unsigned Before);
  bool mayRunTrial(const Culprit &Blamed, TimePoint Now) const;
  /// Whether another blamed suspect ran at all of the same crashes.
  bool isTied(const CrashSuspect &Suspect) const;
  bool isBlamed(const CrashSuspect &Suspect) const;
  void confirm(const std::vector<Loss> &Crashes, TimePoint Now);
  void resolveEnded(TimePoint Now);
  bool hasCrashed(TargetHash Target) const;
  /// Targets that crashed under a suspect, with losses not resolved yet.
  std::set<TargetHash> crashedTargetsOf(const CrashSuspect &Suspect) const;
  /// The same for all suspects with enough crashes to be blamed.
  SuspectRecords records() const;
  void blame() { this->Blamed = findCulprits(this->records()); }
  Changes takeChanges();

  CrashEvidenceTable Evidence;
  std::vector<Loss> Losses;
  std::vector<Loss> Held;
  /// Complete responses that ended with their connection.
  std::vector<Loss> Ended;
  ServedMemory Served;
  std::vector<Culprit> Blamed;
  /// The culprits at the last call of takeChanges.
  std::set<Culprit> ReportedBlamed;
};

} // namespace waycove
