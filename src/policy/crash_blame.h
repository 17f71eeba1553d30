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

/// What is known of one content that was under way at targets as they ended.
struct CrashEvidence {
  /// How often it was proved innocent: it was answered whole after a target had
  /// ended under it. Evidence of before counts no more.
  std::uint32_t TimesServed = 0;
  /// Nodes tried it once more, alone, after it was blamed.
  bool TrialDone = false;
  /// The targets that ended under it since; where there are more than are kept,
  /// those with the smallest hashes, so that all nodes keep the same ones.
  std::set<TargetHash> CrashedTargets;

  /// Adds what another node knows; whether anything was new. Nodes may add in
  /// any order and any number of times.
  bool merge(const CrashEvidence &Other);
  // The comparison that the compiler makes is no text of ours. NOLINTNEXTLINE
  bool operator==(const CrashEvidence &) const = default;

private:
  /// A request that is blamed goes on to end some targets until all nodes know,
  /// and each of these ends excuses those that ran beside it.
  static constexpr std::size_t MostEnds = 16;
};

using CrashEvidenceMap = std::map<ContentHash, CrashEvidence>;

/// Tells which requests end the targets that begin to run them. Such a request
/// comes again, at any node, with the same content, and is never answered. It
/// is a guess: when a target ends, all that ran there looks alike, and targets
/// end of themselves. So
/// - a content is blamed after three ends, and never while it is answered in
///   between; one that was answered before, only after many;
/// - the content with the most ends is blamed first, and what ended under it
///   counts against no other;
/// - one that was blamed by the least evidence, or where another one was at the
///   same ends, is tried once more, at one node.
///
/// Nodes tell each other their rows, which add up to the same at all of them;
/// none holds a time of another machine. Not thread-safe.
class CrashBlame {
public:
  enum class Verdict { Allow, Trial, Refuse };
  /// Contents that are blamed anew, with what is known of them, and those that
  /// are no longer.
  struct Changes {
    CrashEvidenceMap Blamed;
    std::vector<ContentHash> Cleared;
  };

  /// What to do with a request. Try: it may be sent once, by this node alone
  /// (recordTrial).
  Verdict judge(ContentHash Content, TimePoint Now) const;
  /// The connection to \p Target ended under a request.
  void recordLost(ContentHash Content, const VmIncarnation &Target,
                  TimePoint Now);
  /// A request was answered whole.
  void recordServed(ContentHash Content, TimePoint Now);
  void recordTrial(ContentHash Content, TimePoint Now);

  /// Takes each lost connection for the end of its target, but where
  /// \p LastProgress, called with a target's life, shows it alive afterwards.
  /// To be called several times a second. What changed since the last time is
  /// returned.
  template <typename F> Changes resolveLosses(F LastProgress, TimePoint Now) {
    std::vector<Loss> Ended;
    std::size_t Settled = std::erase_if(this->Losses, [&](const Loss &Row) {
      if (Now - Row.At < SettleTime)
        return false;
      if (LastProgress(Row.Target) <= Row.At + LateBytes)
        Ended.push_back(Row);
      return true;
    });
    if (Settled > 0)
      this->confirm(Ended, Now);
    return this->takeChanges();
  }
  /// Adds what another node told.
  void merge(const CrashEvidenceMap &Told, TimePoint Now);
  /// What changed lately, for nodes that hear of this one all the time.
  CrashEvidenceMap recentRows(TimePoint Now) const;
  /// What is blamed, to be put down where it lasts.
  CrashEvidenceMap blamedRows() const;
  /// For a node that knows nothing, or heard nothing lately.
  CrashEvidenceMap allRows() const;

  /// Changes are told on for this long: some rounds of news.
  static constexpr Millis ReportDuration{1500};
  /// Ends under a content after which it is blamed, as the operators bound what
  /// one request may cost.
  static constexpr std::size_t CrashesToBlame = 3;
  /// The same for one that was answered before: when targets end in series, all
  /// that is asked for often is lost several times in a row.
  static constexpr std::size_t CrashesToBlameServed = 12;
  /// Rows of blamed contents that nodes put down where they outlive a restart
  /// of all of them.
  static constexpr std::size_t MaxPersisted = 32;
  /// Rows kept at most.
  static constexpr std::size_t MostRows = 1024;
  /// Rows told at most at a time.
  static constexpr std::size_t MaxReported = 256;

private:
  /// Other connections to a target that lives show it within this time.
  static constexpr Millis SettleTime{250};
  /// What a target sent before its end may be read so much later.
  static constexpr Millis LateBytes{100};
  /// What is blamed is tried again so long after the last that was learned of
  /// it: by then all nodes know what each saw.
  static constexpr Millis TrialAfter{1500};

  struct Kept {
    CrashEvidence Row;
    TimePoint ChangedAt;
  };
  struct Loss {
    ContentHash Content;
    VmIncarnation Target;
    TimePoint At;
  };

  /// The contents that were answered last, of which a node remembers between
  /// one and two times this many.
  class ServedMemory {
  public:
    void add(ContentHash Content);
    bool contains(ContentHash Content) const {
      return this->Newer.contains(Content) || this->Older.contains(Content);
    }

  private:
    static constexpr std::size_t MostRemembered = 4096;
    std::unordered_set<ContentHash> Newer;
    std::unordered_set<ContentHash> Older;
  };

  /// Of the rows that \p IsWanted names, \p Most at the most: those with the
  /// most ends, and of these the newest.
  template <typename F>
  CrashEvidenceMap pick(F IsWanted, std::size_t Most) const;
  bool mayTry(ContentHash Content, TimePoint Now) const;
  std::size_t endsNeeded(ContentHash Content) const;
  void confirm(const std::vector<Loss> &Ended, TimePoint Now);
  /// Ends under a content, with those that are not settled yet.
  std::set<TargetHash> endsOf(ContentHash Content) const;
  /// The same for all contents with enough of them to be blamed.
  std::map<ContentHash, std::set<TargetHash>> evidence() const;
  void blame();
  void forget();
  Changes takeChanges();

  std::map<ContentHash, Kept> Rows;
  std::vector<Loss> Losses;
  ServedMemory Served;
  std::set<ContentHash> Blamed;
  /// As takeChanges last saw it.
  std::set<ContentHash> ToldBlamed;
};

} // namespace waycove
