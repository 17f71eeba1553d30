// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/start_guide.h"

#include "wire/join_frames.h"
#include "wire/news_frames.h"

#include <algorithm>

namespace waycove {

namespace {

/// Salt of the delays that differ between nodes.
constexpr std::uint64_t DelaySalt = 0x57a7;

} // namespace

StartGuide::StartGuide(EntryBoard &Board, NewsLinks &Links,
                       ReadSomeNodes ReadNodes)
    : Board(Board), Links(Links), OwnService(Board),
      ReadNodes(std::move(ReadNodes)), Seeds(Board.Config.Entry->Seeds) {
  if (!this->Seeds.empty())
    this->NextSeed =
        mixHash(hashText(Board.Config.Node.Text), 0) % this->Seeds.size();
}

bool StartGuide::isSeed() const {
  const Settings &Config = this->Board.Config;
  return std::any_of(Config.Entry->Seeds.begin(), Config.Entry->Seeds.end(),
                     [&](const Endpoint &Seed) {
                       return Seed.text() == Config.PeerListen.text();
                     });
}

Millis StartGuide::ownDelay(Millis Most) const {
  std::uint64_t Hash =
      mixHash(hashText(this->Board.Config.Node.Text), DelaySalt);
  return Millis(static_cast<std::int64_t>(
      Hash % static_cast<std::uint64_t>(Most.count())));
}

void StartGuide::begin() {
  TimePoint Now = SystemClock{}.now();
  const EntrySettings &Entry = *this->Board.Config.Entry;
  this->Board.InitialFillLease.renew(Now, Entry.FirstStart ? FirstFillTimeout
                                                           : FillTimeout);
  if (!Entry.Seeds.empty() && !this->isSeed())
    this->holdBack(Now, FirstAnswerTimeout);
  else if (Entry.FirstStart)
    this->Board.DirectoryFillLease.renew(Now, StartSpread);
  if (this->isSeed())
    this->Board.ListingLease.renew(Now, ListingTimeout);
  this->DueAt = Now + (this->isSeed() ? Millis(0) : ownDelay(MaxFirstDelay));
}

/// Keeps this node from reading the store and from announcing itself there.
void StartGuide::holdBack(TimePoint Now, Millis Duration) {
  this->Board.InitialFillLease.renew(Now, Duration);
  this->Board.DirectoryFillLease.renew(Now, Duration);
  this->Board.ListingLease.renew(Now, Duration);
}

void StartGuide::step(TimePoint Now) {
  if (this->Board.Config.Entry->Seeds.empty() || Now < this->DueAt)
    return;
  if (this->TurnAt) {
    if (Now >= *this->TurnAt)
      this->findSeeds(Now);
    return;
  }
  absl::StatusOr<JoinAnswer> Answer = this->ask(Now);
  if (Answer.ok())
    this->apply(*Answer, SystemClock{}.now());
  else
    this->onSeedFailure(Answer.status(), SystemClock{}.now());
}

absl::StatusOr<JoinAnswer> StartGuide::ask(TimePoint Now) {
  CrashEvidenceMap NoBlame;
  std::string Announced = packAnnouncement({this->Board.nodeInfo(), NoBlame});
  if (this->isSeed())
    return this->OwnService.answer(this->Board.nodeInfo(), Announced,
                                   {this->Failed.begin(), this->Failed.end()},
                                   Now);
  absl::StatusOr<wire::JoinAnswerT> Answer =
      this->Links.join(this->Seeds[this->NextSeed % this->Seeds.size()],
                       packJoin(Announced, this->Failed), SeedConnectTimeout,
                       SeedResponseTimeout);
  if (!Answer.ok())
    return Answer.status();
  return unpackJoinAnswer(*Answer);
}

void StartGuide::apply(const JoinAnswer &Answer, TimePoint Now) {
  this->FailuresInRow = 0;
  this->RetryBackoff.reset();
  this->Board.SeedNodeCount = Answer.NodeCount;
  this->Board.ListingLease.renew(Now,
                                 ListingTimeout + ownDelay(MaxListingDelay));
  Millis Pause = this->isSeed() ? OwnAnswerInterval : Answer.RetryAfter;
  this->DueAt = Now + Pause + ownDelay(Pause + Millis(1));
  if (Answer.ReadsStore != this->ToldToRead ||
      this->Upstream.empty() != Answer.Upstream.empty())
    this->Board.Log.emit(
        EventCode::JoinAnswered, this->Board.Config.Node.Text,
        LogFields()
            .add("upstream",
                 Answer.Upstream.empty() ? "" : Answer.Upstream[0].Node.Text)
            .add("reads_store", Answer.ReadsStore)
            .add("nodes", Answer.NodeCount)
            .add("retry_ms", Answer.RetryAfter));
  this->Upstream = Answer.Upstream;
  this->ToldToRead = Answer.ReadsStore;
  if (Answer.ReadsStore) {
    this->Board.InitialFillLease.drop();
    this->Board.DirectoryFillLease.drop();
    return;
  }
  Millis Duration = Pause + Pause + AnswerValidity;
  this->Board.InitialFillLease.renew(Now, Duration);
  if (!this->isSeed())
    this->Board.DirectoryFillLease.renew(Now, Duration);
}

/// Asks the next seed. Once all have failed, this node looks for others in the
/// store.
void StartGuide::onSeedFailure(const absl::Status &Why, TimePoint Now) {
  ++this->NextSeed;
  ++this->FailuresInRow;
  if (this->FailuresInRow >= this->Seeds.size())
    this->awaitTurn(Why, Now);
}

void StartGuide::awaitTurn(const absl::Status &Why, TimePoint Now) {
  this->FailuresInRow = 0;
  if (this->StoreTries == MaxStoreTries)
    return this->readStore();
  Millis Turn = storeTurn(this->Board.Config.Node);
  this->TurnAt = Now + Turn;
  this->holdBack(Now, Turn + AnswerValidity);
  this->Board.Log.emit(EventCode::SeedsUnreachable,
                       this->Board.Config.Node.Text,
                       LogFields()
                           .add("seeds", this->Seeds.size())
                           .add("reason", messageOf(Why))
                           .add("store_in_ms", Turn));
}

void StartGuide::findSeeds(TimePoint Now) {
  ++this->StoreTries;
  absl::StatusOr<std::vector<NodeInfo>> Nodes = this->ReadNodes();
  if (!Nodes.ok()) {
    this->holdBack(Now, AnswerValidity);
    this->DueAt = Now + this->RetryBackoff.next();
    if (this->StoreTries == MaxStoreTries)
      this->readStore();
    return;
  }
  std::erase_if(*Nodes, [&](const NodeInfo &Node) {
    return Node.Node == this->Board.Config.Node;
  });
  this->TurnAt.reset();
  if (Nodes->empty())
    return this->readStore();
  std::size_t First =
      mixHash(hashText(this->Board.Config.Node.Text), this->StoreTries) %
      Nodes->size();
  this->Seeds.clear();
  for (std::size_t I = 0; I < std::min(Nodes->size(), MaxStoreSeeds); ++I) {
    const NodeInfo &Node = (*Nodes)[(First + I) % Nodes->size()];
    this->Seeds.push_back({Node.Host, Node.Port});
  }
  this->holdBack(Now, FirstAnswerTimeout);
}

/// This node reads the store and announces itself.
void StartGuide::readStore() {
  this->TurnAt.reset();
  this->Board.InitialFillLease.drop();
  this->Board.DirectoryFillLease.drop();
  this->Board.ListingLease.drop();
}

} // namespace waycove
