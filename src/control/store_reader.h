// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/feed_notes.h"
#include "control/keyed_feed.h"

#include <absl/status/statusor.h>

namespace waycove {

/// A feed at the platform's store, over a connection of its own that renew()
/// replaces before the next call.
template <typename F>
concept StoreFeed = KeyedFeed<F> && requires(F &Feed) {
  Feed.renew();
};

/// Reads one feed from the platform's store into this node's cache, unless a
/// neighbour does that for it. Whoever follows the feed waits for the cache
/// alone: a call that hangs keeps nobody from what a neighbour has told.
///
/// One thread reads in turn (step). A second one (watch) looks at the age of
/// what is known: where that passes what the operators' bound leaves
/// (EntryBoard::mostAge) while the other's call hangs, it asks on a new
/// connection. A connection that died without a word so costs that age and one
/// call, 1.4 s and some 10 ms of a bound of 2 s, instead of all the time-outs
/// in its way, 2.9 s for each.
template <StoreFeed Feed> class StoreReader {
public:
  /// \p Open opens the feed at the store.
  StoreReader(EntryBoard &Board, FeedKind Kind, Feed (*Open)(EntryBoard &))
      : Board(Board), Cache(Board.feed(Kind)), Kind(Kind), Turn(Board, Open),
        Spare(Board, Open) {}

  /// One read, or a wait while a neighbour reads; how long to pause then.
  Millis step() {
    TimePoint Now = SystemClock{}.now();
    if (!this->Cache.next() && this->isFillAwaited(Now))
      return FillLook;
    if (this->isWholeAwaited(Now))
      return FillLook;
    std::atomic<bool> &LeftOut = this->Board.state(this->Kind).LeftOut;
    bool Rested = !LeftOut && this->rest(Now);
    bool Whole = LeftOut.exchange(false);
    if (Rested && !Whole && !this->mustRead(SystemClock{}.now()))
      return Millis(0);
    if (Rested)
      this->Turn.Store.renew();
    Now = SystemClock{}.now();
    this->HangsFrom.store((Now + Patience).time_since_epoch().count());
    Millis Pause = this->read(this->Turn, this->waitTime(Now), Whole);
    this->HangsFrom.store(NoCall);
    return Pause;
  }

  /// Reads on a new connection where the call of step() hangs and what is known
  /// is too old; how long to pause before the next look.
  Millis watch() {
    std::optional<Millis> Most = this->Board.mostAge(this->Kind);
    if (!Most || !this->Cache.next())
      return IdleLook;
    TimePoint Now = SystemClock{}.now();
    if (TimePoint Due = this->Cache.provenAt() + *Most; Now < Due)
      return std::chrono::ceil<Millis>(Due - Now);
    if (Now.time_since_epoch().count() < this->HangsFrom.load() ||
        this->isWholeAwaited(Now))
      return OverdueLook;
    this->Spare.Store.renew();
    Millis Pause = this->read(this->Spare, Millis(0), false);
    return std::max(Pause, OverdueLook);
  }

private:
  /// A node that reads for others proves after this part of the bound that
  /// nothing changed: of 2 s 0.6. Three hops of a round of news, 0.25 s each,
  /// keep what all others know below mostAge.
  static constexpr double ReaderPart = 0.3;
  /// Where it is the only node, it reads so long before that age.
  static constexpr Millis AloneMargin{100};
  /// The same where no bound is set.
  static constexpr Millis UnboundWait{4000};
  /// Part of the revocation bound between two proofs of the configuration: two
  /// reads, the follower's margin and slow answers have to fit into the bound,
  /// at the shortest in use (1.5 s) with 0.45 s for answers.
  static constexpr double ProofPart = 0.3;
  /// Changes of the registry come in series: what comes within this time shares
  /// a call. Nodes that order groups, or read for those, wait for orders to
  /// show; hence no longer.
  static constexpr Millis RegistryGather{220};
  /// Nodes come in series, too, and nothing waits for one more of them.
  static constexpr Millis DirectoryGather{1500};
  /// So much more rarely than the other feeds it is tried where the store
  /// fails.
  static constexpr int DirectoryPatience = 4;
  /// Versions come in series too, up to 17 in a second.
  static constexpr Millis ConfigGather{100};
  /// Where nobody waits for what this node reads: neither others that read
  /// through it nor groups of its own.
  static constexpr Millis AloneGather{500};
  /// A call that is younger than this is given its time: the store takes some
  /// 4 ms, and 240 when it is slow.
  static constexpr Millis Patience{250};
  static constexpr Millis OverdueLook{50};
  static constexpr Millis IdleLook{500};
  static constexpr std::int64_t NoCall =
      std::numeric_limits<std::int64_t>::max();

  /// While this node may be told what it does not know yet.
  static constexpr Millis FillLook{20};
  /// All nodes start within 0.3 s of each other when the whole system starts,
  /// as the platform states: one read of the directory shows them all then.
  static constexpr Millis StartSpread{400};
  /// After a restore of the store, for a neighbour to tell all of a feed: three
  /// hops of a round each, and its reading. Meanwhile what is known serves.
  static constexpr Millis WholeWait{1000};
  /// After all was read at the start: others are asked meanwhile who read on.
  static constexpr Millis StartPause{500};

  /// One of the two connections.
  struct Lane {
    Lane(EntryBoard &Board, Feed (*Open)(EntryBoard &)) : Store(Open(Board)) {}
    Feed Store;
    Backoff Waits;
    bool Failed = false;
    /// The store does not hold what came since; all of it has to be read.
    bool HistoryGone = false;
  };

  bool isFillAwaited(TimePoint Now) const {
    if (this->Kind == FeedKind::Nodes)
      return this->Board.Config.Entry->FirstStart &&
             Now - this->Began < StartSpread;
    return this->Board.FillAwaited.holds(Now);
  }
  /// The store came back from an older copy, and all of the feed is to be read.
  /// The first node of each data centre does so at once, and tells the others.
  /// The configuration is small, and has to be in force soon.
  void noteRestore(StoreEra Era, TimePoint Now) {
    bool First = this->Board.FirstOfCentre || this->Board.NodesKnown <= 1 ||
                 this->Kind == FeedKind::Config;
    TimePoint Due = First ? Now : Now + WholeWait;
    this->WholeDue = Due.time_since_epoch().count();
    this->NewEra = Era.Value;
  }
  bool isRestored(const std::optional<StorePosition> &Known) const {
    return Known && Known->Era < StoreEra(this->NewEra);
  }
  bool isWholeAwaited(TimePoint Now) const {
    return this->isRestored(this->Cache.next()) &&
           Now.time_since_epoch().count() < this->WholeDue;
  }
  bool isOverdue(TimePoint Now) const {
    std::optional<Millis> Most = this->Board.mostAge(this->Kind);
    return Most && Now - this->Cache.provenAt() >= *Most;
  }
  bool mustRead(TimePoint Now) const {
    return !this->Board.Relayed || !this->Cache.next() || this->isOverdue(Now);
  }

  /// Waits while a neighbour reads the feed for this node; whether it did.
  bool rest(TimePoint Now) {
    if (this->mustRead(Now))
      return false;
    std::optional<Millis> Most = this->Board.mostAge(this->Kind);
    this->Cache.waitWake(Most ? this->Cache.provenAt() + *Most
                              : Now + UnboundWait);
    return true;
  }

  /// How long the store may wait for something new, so that the next proof
  /// comes in time: where one came with records, it is as old as its question.
  /// Not at all while others may not rely on this node yet: one that takes over
  /// from a reader would else have nothing to tell for as long as its first
  /// wait, and each other node would read the store itself.
  Millis waitTime(TimePoint Now) const {
    if (!this->Board.mayTell(this->Kind, Now))
      return Millis(0);
    Millis Span = this->proofSpan(Now);
    auto Left =
        std::chrono::duration_cast<Millis>(this->Cache.provenAt() + Span - Now);
    return std::clamp(Left, Millis(0), Span);
  }

  Millis proofSpan(TimePoint Now) const {
    std::optional<Millis> Bound = this->Board.boundOf(this->Kind);
    if (!Bound)
      return UnboundWait;
    bool Awaited = this->Board.servesNews(Now) || this->Board.NodesKnown > 1;
    Millis Span = Awaited ? EntryBoard::partOf(*Bound, ReaderPart)
                          : *this->Board.mostAge(this->Kind) - AloneMargin;
    if (this->Kind == FeedKind::Config)
      Span = std::min(
          Span,
          EntryBoard::partOf(this->Board.Config.Entry->RevokeBound, ProofPart));
    return std::max(Span, Millis(0));
  }

  Millis gatherTime(CallCause Cause) const {
    if (Cause == CallCause::Start && this->Board.NodesKnown > 1)
      return StartPause;
    if (Cause == CallCause::Alone && this->Board.Share == 0)
      return AloneGather;
    switch (this->Kind) {
    case FeedKind::Registry:
      return RegistryGather;
    case FeedKind::Nodes:
      return DirectoryGather;
    default:
      return ConfigGather;
    }
  }

  static StoreUse useOf(FeedKind Kind) {
    switch (Kind) {
    case FeedKind::Config:
      return StoreUse::Config;
    case FeedKind::Registry:
      return StoreUse::Registry;
    default:
      return StoreUse::Directory;
    }
  }

  CallCause causeOf(const Lane &By, TimePoint Now, bool LeftOut) const {
    if (By.Failed)
      return CallCause::Retry;
    if (By.HistoryGone || this->isRestored(this->Cache.next()))
      return CallCause::HistoryGone;
    if (!this->Cache.next())
      return CallCause::Start;
    if (LeftOut)
      return CallCause::Large;
    if (this->Board.Relayed || &By == &this->Spare)
      return CallCause::Aged;
    return this->Board.servesNews(Now) ? CallCause::Duty : CallCause::Alone;
  }

  Millis read(Lane &By, Millis Wait, bool LeftOut) {
    std::optional<StorePosition> From = this->Cache.next();
    TimePoint SentAt = SystemClock{}.now();
    CallCause Cause = this->causeOf(By, SentAt, LeftOut);
    bool Whole = LeftOut || By.HistoryGone || !From || this->isRestored(From);
    absl::StatusOr<KeyedPage> Page =
        Whole ? By.Store.newest() : By.Store.follow(*From, Wait);
    By.Failed = !Page.ok();
    this->Board.Counters.Calls.add(useOf(this->Kind), Cause,
                                   Page.ok() ? Page->Calls : 1);
    TimePoint Now = SystemClock{}.now();
    if (!Page.ok())
      return this->onFailure(By, Page.status(), SentAt, Now);
    // The store came back from an older copy: what follows the old offset there
    // does not follow what this node knows.
    if (!Whole && Page->Next.Era > From->Era) {
      this->noteRestore(Page->Next.Era, Now);
      return Millis(0);
    }
    // A read that waited in vain shows at its end that nothing had come.
    bool InVain = !Whole && Page->Records.empty() && Now - SentAt >= Wait;
    Page->ProvenAt = InVain ? SentAt + Wait : SentAt;
    bool Stale =
        From && (By.HistoryGone ? Page->Next <= *From : Page->Next < *From);
    if (Stale)
      return this->onStale(By, *Page, *From);
    By.HistoryGone = false;
    By.Waits.reset();
    for (const KeyedRecord &Record : Page->Records)
      Page->Versions.Shown = std::max(Page->Versions.Shown, Record.Version);
    this->onAnswer(*Page, SentAt, Now);
    return this->gatherTime(Cause);
  }

  Millis onFailure(Lane &By, const absl::Status &Why, TimePoint SentAt,
                   TimePoint Now) {
    if (kindOf(Why) == ErrorKind::NotFound) {
      By.HistoryGone = true;
      return Millis(0);
    }
    std::lock_guard Lock(this->Mutex);
    this->Board.state(this->Kind).ReadFailed = true;
    if (std::exchange(this->Up, false))
      this->Board.Log.emit(
          EventCode::LogUnreachable, std::string(feedName(this->Kind)),
          LogFields()
              .add("reason", messageOf(Why))
              .add("after_ms", std::chrono::ceil<Millis>(Now - SentAt)));
    ProbeBackoff Pace = this->Board.storePace();
    int Patience = this->Kind == FeedKind::Nodes ? DirectoryPatience : 1;
    return By.Waits.next(Pace.Min * Patience, Pace.Max * Patience);
  }

  /// What the store tells is older than what this node knows: a read of a copy
  /// that lags. It proves nothing, and what has gone stays gone.
  Millis onStale(Lane &By, const KeyedPage &Page, StorePosition Known) {
    this->Board.Log.emit(EventCode::LogStale, std::string(feedName(this->Kind)),
                         LogFields()
                             .add("offset", Page.Next.At.Value)
                             .add("known", Known.At.Value)
                             .add("era", Page.Next.Era.Value));
    return By.Waits.next();
  }

  void onAnswer(KeyedPage &Page, TimePoint SentAt, TimePoint Now) {
    std::lock_guard Lock(this->Mutex);
    this->Board.state(this->Kind).ReadFailed = false;
    if (!std::exchange(this->Up, true))
      this->Board.Log.emit(EventCode::LogReachable,
                           std::string(feedName(this->Kind)));
    // Nobody had a proof for so long: entries may have lapsed meanwhile. Or the
    // store came back without those that were written since its copy.
    TimePoint Proven = this->Cache.provenAt();
    bool Away = Proven != TimePoint() && SentAt - Proven > FeedCache::AwayGap;
    std::optional<StorePosition> Known = this->Cache.next();
    bool Restored = Known && Page.Next.Era > Known->Era;
    if (Away || Restored)
      Page.HoldUntil = Now + FeedCache::LapseTime;
    takePage(this->Board, this->Kind, Page, "store", Now);
    this->Board.state(this->Kind).OwnProof.raise(Page.ProvenAt);
  }

  EntryBoard &Board;
  FeedCache &Cache;
  const FeedKind Kind;
  const TimePoint Began = SystemClock{}.now();
  Lane Turn;
  Lane Spare;
  /// From when on the call of step() counts as hanging where what is known is
  /// too old, as a count of TimePoint; NoCall where none is under way. Its wait
  /// is chosen so that its answer comes before that age.
  std::atomic<std::int64_t> HangsFrom{NoCall};
  /// The store's, as one of the connections has seen it.
  std::atomic<std::uint64_t> NewEra{0};
  /// Until then a neighbour may tell all of the feed in that era, as a count of
  /// TimePoint.
  std::atomic<std::int64_t> WholeDue{0};
  /// Guards what follows.
  std::mutex Mutex;
  bool Up = true;
};

} // namespace waycove
