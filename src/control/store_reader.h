// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/feed_page.h"
#include "control/keyed_feed.h"

#include <absl/status/statusor.h>

namespace waycove {

/// A feed at the platform's store over its own connection; renew() makes the
/// next call open a new one.
template <typename F>
concept StoreFeed = KeyedFeed<F> && requires(F &Feed) {
  Feed.renew();
};

/// Reads one feed from the platform's store into this node's cache, unless an
/// upstream node does that for this one. Followers of the feed wait for the
/// cache alone, so a call that hangs does not keep updates of other nodes from
/// them.
///
/// A proof is a time as of which the store is known to have held nothing newer
/// than this node's copy (KeyedPage::ProvenAt). The operators' configuration
/// bound, and for API keys the revocation bound, limits the age of the last
/// proof of the configuration; the drain bound limits that of the registry. The
/// directory has no bound.
///
/// One step reads regularly (pollMain, readMain). A second one (pollBackup,
/// readBackup) checks the age of what is known: when it exceeds
/// EntryBoard::maxAge while the call of the first one hangs, it reads over a
/// new connection instead of waiting until the old one times out. The poll
/// functions do not block, and the read functions do; see StepRunner.
template <StoreFeed Feed> class StoreReader {
public:
  /// \p Open opens a connection to the feed at the store.
  StoreReader(EntryBoard &Board, FeedKind Kind, Feed (*Open)(EntryBoard &))
      : Board(Board), Cache(Board.feed(Kind)), Kind(Kind), Main(Board, Open),
        Backup(Board, Open) {}

  /// Returns the pause while an upstream node reads for this one, which
  /// FeedCache::wake() ends, or nothing if readMain() is due.
  std::optional<Millis> pollMain() {
    TimePoint Now = SystemClock{}.now();
    bool AwaitsFill = !this->Cache.next() && this->awaitsFill(Now);
    if (AwaitsFill || this->awaitsFullPage(Now))
      return FillPollInterval;
    if (this->Board.feedState(this->Kind).RecordsOmitted || this->mustRead(Now))
      return std::nullopt;
    this->HadUpstream = true;
    std::optional<Millis> MaxAge = this->Board.maxAge(this->Kind);
    return MaxAge ? std::chrono::ceil<Millis>(this->Cache.provenAt() + *MaxAge -
                                              Now)
                  : UnboundedWait;
  }

  /// Reads once; returns the pause before the next poll.
  Millis readMain() {
    bool Whole =
        this->Board.feedState(this->Kind).RecordsOmitted.exchange(false);
    if (std::exchange(this->HadUpstream, false))
      this->Main.Store.renew();
    TimePoint Now = SystemClock{}.now();
    this->HangsSince.store((Now + HangTimeout).time_since_epoch().count());
    Millis Pause = this->read(this->Main, this->pollTimeout(Now), Whole);
    this->HangsSince.store(NoCall);
    return Pause;
  }

  /// Returns the pause before the age of what is known has to be checked again,
  /// or nothing if readBackup() is due.
  std::optional<Millis> pollBackup() {
    std::optional<Millis> MaxAge = this->Board.maxAge(this->Kind);
    if (!MaxAge || !this->Cache.next())
      return IdlePollInterval;
    TimePoint Now = SystemClock{}.now();
    if (TimePoint Due = this->Cache.provenAt() + *MaxAge; Now < Due)
      return std::chrono::ceil<Millis>(Due - Now);
    if (Now.time_since_epoch().count() < this->HangsSince.load() ||
        this->awaitsFullPage(Now))
      return OverduePollInterval;
    return std::nullopt;
  }

  /// Reads over a new connection; returns the pause before the next poll.
  Millis readBackup() {
    this->Backup.Store.renew();
    Millis Pause = this->read(this->Backup, Millis(0), false);
    return std::max(Pause, OverduePollInterval);
  }

private:
  /// Part of a feed's bound between two proofs of a node that reads for others;
  /// leaves time for three hops between nodes, 0.25 s each, before maxAge.
  static constexpr double ReaderProofPart = 0.3;
  /// A single node reads this long before maxAge.
  static constexpr Millis SingleNodeMargin{100};
  /// Interval between proofs of a feed without a bound.
  static constexpr Millis UnboundedWait{4000};
  /// Part of the revocation bound between two proofs of the configuration. Two
  /// of these intervals, ConfigFollower::ProofMargin and the response times of
  /// the store have to fit into the bound.
  static constexpr double ConfigProofPart = 0.3;
  /// Delay after a read of the registry, so that changes that come together
  /// share a call. Short, since owners wait for the effect of their orders.
  static constexpr Millis RegistryBatchDelay{220};
  /// The same for the directory, whose changes are not urgent.
  static constexpr Millis DirectoryBatchDelay{1500};
  /// While the store fails, the directory is read this much less often than the
  /// other feeds.
  static constexpr int DirectoryBackoffFactor = 4;
  /// Delay after a read of the configuration, of which up to 17 versions may
  /// come in a second.
  static constexpr Millis ConfigBatchDelay{100};
  /// Delay after a read if neither other nodes nor owned domains wait for it.
  static constexpr Millis IdleBatchDelay{500};
  /// A call counts as hanging after this time; longer than a slow store takes,
  /// some 240 ms. A healthy one takes 4.
  static constexpr Millis HangTimeout{250};
  static constexpr Millis OverduePollInterval{50};
  static constexpr Millis IdlePollInterval{500};
  static constexpr std::int64_t NoCall =
      std::numeric_limits<std::int64_t>::max();

  /// Poll interval while another node may still send what this one lacks.
  static constexpr Millis FillPollInterval{20};
  /// After a restore, how long to wait for another node to send the whole feed:
  /// its read and three hops.
  static constexpr Millis FullPageTimeout{1000};
  /// Delay after the first read, in which an upstream node is looked for.
  static constexpr Millis StartDelay{500};

  /// One of the two connections with its state.
  struct Connection {
    Connection(EntryBoard &Board, Feed (*Open)(EntryBoard &))
        : Store(Open(Board)) {}
    Feed Store;
    Backoff RetryBackoff;
    bool Failed = false;
    /// The history since the last read is truncated; everything has to be read.
    bool HistoryGone = false;
  };

  bool awaitsFill(TimePoint Now) const {
    return this->Kind == FeedKind::Nodes
               ? this->Board.DirectoryFillLease.holds(Now)
               : this->Board.InitialFillLease.holds(Now);
  }
  /// The store was restored from an older copy, so the whole feed has to be
  /// read. The first node of each data centre does so at once, and the others
  /// get it from there; each reads the small configuration itself.
  void onRestore(StoreEra Era, TimePoint Now) {
    bool First = this->Board.FirstInCentre || this->Board.KnownNodeCount <= 1 ||
                 this->Kind == FeedKind::Config;
    TimePoint Due = First ? Now : Now + FullPageTimeout;
    this->FullPageDue = Due.time_since_epoch().count();
    this->NewEra = Era.Value;
  }
  bool isRestored(const std::optional<StorePosition> &Known) const {
    return Known && Known->Era < StoreEra(this->NewEra);
  }
  bool awaitsFullPage(TimePoint Now) const {
    return this->isRestored(this->Cache.next()) &&
           Now.time_since_epoch().count() < this->FullPageDue;
  }
  bool isOverdue(TimePoint Now) const {
    std::optional<Millis> MaxAge = this->Board.maxAge(this->Kind);
    return MaxAge && Now - this->Cache.provenAt() >= *MaxAge;
  }
  bool mustRead(TimePoint Now) const {
    return !this->Board.HasUpstream || !this->Cache.next() ||
           this->isOverdue(Now);
  }

  /// How long the store may wait for a change, so that the next proof comes in
  /// time. A response with records proves only the time at which the request
  /// was sent. Zero while others may not rely on this node: one that takes over
  /// from another reader needs a proof at once, or each other node would read
  /// the store itself.
  Millis pollTimeout(TimePoint Now) const {
    if (!this->Board.canServeFeed(this->Kind, Now))
      return Millis(0);
    Millis Interval = this->proofInterval(Now);
    auto Remaining = std::chrono::duration_cast<Millis>(this->Cache.provenAt() +
                                                        Interval - Now);
    return std::clamp(Remaining, Millis(0), Interval);
  }

  Millis proofInterval(TimePoint Now) const {
    std::optional<Millis> Bound = this->Board.freshnessBound(this->Kind);
    if (!Bound)
      return UnboundedWait;
    bool IsReader =
        this->Board.hasDownstream(Now) || this->Board.KnownNodeCount > 1;
    Millis Interval = IsReader
                          ? EntryBoard::fractionOf(*Bound, ReaderProofPart)
                          : *this->Board.maxAge(this->Kind) - SingleNodeMargin;
    if (this->Kind == FeedKind::Config)
      Interval =
          std::min(Interval,
                   EntryBoard::fractionOf(this->Board.Config.Entry->RevokeBound,
                                          ConfigProofPart));
    return std::max(Interval, Millis(0));
  }

  Millis batchDelay(CallCause Cause) const {
    if (Cause == CallCause::Start && this->Board.KnownNodeCount > 1)
      return StartDelay;
    if (Cause == CallCause::Alone && this->Board.PartitionShare == 0)
      return IdleBatchDelay;
    switch (this->Kind) {
    case FeedKind::Registry:
      return RegistryBatchDelay;
    case FeedKind::Nodes:
      return DirectoryBatchDelay;
    default:
      return ConfigBatchDelay;
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

  CallCause causeOf(const Connection &Link, TimePoint Now,
                    bool RecordsOmitted) const {
    if (Link.Failed)
      return CallCause::Retry;
    if (Link.HistoryGone || this->isRestored(this->Cache.next()))
      return CallCause::HistoryGone;
    if (!this->Cache.next())
      return CallCause::Start;
    if (RecordsOmitted)
      return CallCause::Large;
    if (this->Board.HasUpstream || &Link == &this->Backup)
      return CallCause::Aged;
    return this->Board.hasDownstream(Now) ? CallCause::Duty : CallCause::Alone;
  }

  Millis read(Connection &Link, Millis Wait, bool RecordsOmitted) {
    std::optional<StorePosition> From = this->Cache.next();
    TimePoint SentAt = SystemClock{}.now();
    CallCause Cause = this->causeOf(Link, SentAt, RecordsOmitted);
    bool Whole =
        RecordsOmitted || Link.HistoryGone || !From || this->isRestored(From);
    absl::StatusOr<KeyedPage> Page =
        Whole ? Link.Store.newest() : Link.Store.follow(*From, Wait);
    Link.Failed = !Page.ok();
    this->Board.Counters.Calls.add(useOf(this->Kind), Cause,
                                   Page.ok() ? Page->Calls : 1);
    TimePoint Now = SystemClock{}.now();
    if (!Page.ok())
      return this->onFailure(Link, Page.status(), SentAt, Now);
    // The store was restored from an older copy, where records after the old
    // offset do not continue what this node knows.
    if (!Whole && Page->Next.Era > From->Era) {
      this->onRestore(Page->Next.Era, Now);
      return Millis(0);
    }
    // A read that timed out proves that nothing changed until its end.
    bool TimedOut = !Whole && Page->Records.empty() && Now - SentAt >= Wait;
    // The first part of a whole feed may be from an earlier call.
    if (Page->ProvenAt == TimePoint())
      Page->ProvenAt = TimedOut ? SentAt + Wait : SentAt;
    bool Stale =
        From && (Link.HistoryGone ? Page->Next <= *From : Page->Next < *From);
    if (Stale)
      return this->onStale(Link, *Page, *From);
    Link.HistoryGone = false;
    Link.RetryBackoff.reset();
    for (const KeyedRecord &Record : Page->Records)
      Page->Versions.Current = std::max(Page->Versions.Current, Record.Version);
    this->onSuccess(*Page, SentAt, Now);
    return this->batchDelay(Cause);
  }

  Millis onFailure(Connection &Link, const absl::Status &Why, TimePoint SentAt,
                   TimePoint Now) {
    if (kindOf(Why) == ErrorKind::NotFound) {
      Link.HistoryGone = true;
      return Millis(0);
    }
    std::lock_guard Lock(this->Mutex);
    this->Board.feedState(this->Kind).ReadFailed = true;
    if (std::exchange(this->Up, false))
      this->Board.Log.emit(
          EventCode::LogUnreachable, std::string(feedName(this->Kind)),
          LogFields()
              .add("reason", messageOf(Why))
              .add("after_ms", std::chrono::ceil<Millis>(Now - SentAt)));
    ProbeBackoff Pace = this->Board.storeProbePace();
    int Factor = this->Kind == FeedKind::Nodes ? DirectoryBackoffFactor : 1;
    return Link.RetryBackoff.next(Pace.Min * Factor, Pace.Max * Factor);
  }

  /// The response is older than what this node knows, e.g. from a replica that
  /// lags. It proves nothing and brings nothing back that was removed.
  Millis onStale(Connection &Link, const KeyedPage &Page, StorePosition Known) {
    this->Board.Log.emit(EventCode::LogStale, std::string(feedName(this->Kind)),
                         LogFields()
                             .add("offset", Page.Next.At.Value)
                             .add("known", Known.At.Value)
                             .add("era", Page.Next.Era.Value));
    return Link.RetryBackoff.next();
  }

  void onSuccess(KeyedPage &Page, TimePoint SentAt, TimePoint Now) {
    std::lock_guard Lock(this->Mutex);
    this->Board.feedState(this->Kind).ReadFailed = false;
    if (!std::exchange(this->Up, true))
      this->Board.Log.emit(EventCode::LogReachable,
                           std::string(feedName(this->Kind)));
    // Entries may have lapsed while no node had a proof, or were written after
    // the copy from which the store was restored.
    TimePoint Proven = this->Cache.provenAt();
    bool WasAway =
        Proven != TimePoint() && SentAt - Proven > FeedCache::OutageThreshold;
    std::optional<StorePosition> Known = this->Cache.next();
    bool Restored = Known && Page.Next.Era > Known->Era;
    if (WasAway || Restored)
      Page.RetainUntil = Now + FeedCache::RecoveryTimeout;
    applyFeedPage(this->Board, this->Kind, Page, "store", Now);
    this->Board.feedState(this->Kind).OwnProvenAt.raise(Page.ProvenAt);
  }

  EntryBoard &Board;
  FeedCache &Cache;
  const FeedKind Kind;
  Connection Main;
  Connection Backup;
  /// An upstream node has read for this one since the last call over Main.
  bool HadUpstream = false;
  /// Time from which the call of readMain() counts as hanging, as a count of
  /// TimePoint; NoCall if none is in progress.
  std::atomic<std::int64_t> HangsSince{NoCall};
  /// Newest era of the store that one of the connections has seen.
  std::atomic<std::uint64_t> NewEra{0};
  /// Until when this node waits for another one to send the whole feed of that
  /// era, as a count of TimePoint.
  std::atomic<std::int64_t> FullPageDue{0};
  /// Guards Up.
  std::mutex Mutex;
  bool Up = true;
};

} // namespace waycove
