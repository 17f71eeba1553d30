// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "board/board.h"

#include "policy/rendezvous.h"

namespace waycove {

namespace {

constexpr std::size_t MaxStoredAnswers = 32 << 20;
constexpr std::uint64_t LeavingNewsMs = 120000;
/// The group controller's rounds may lag by this many poll periods.
constexpr int RoundsAllowed = 5;
constexpr Millis LeastLag(1000);

} // namespace

ViewRef ViewTable::find(const ObjectKey &Key) const {
  auto At = this->Rows.find(Key);
  return At == this->Rows.end() ? nullptr : At->second;
}

Board::Board(const Settings &Config, const IncarnationId &Incarnation)
    : Config(Config), Self{Config.Node, Incarnation, Config.DataCentre,
                           hashNode(Config.Node, Incarnation)},
      Log(Config.Node, this->Clock), Idempotency(MaxStoredAnswers) {
  this->Peers.write([&](PeerTable &Rows) {
    Rows.LocalDataCentre = Config.DataCentre;
    Rows.LivenessTimeout = std::max(Millis(600), 4 * Config.HeartbeatInterval);
  });
}

bool Board::hasFreshMemberState(TimePoint Now) const {
  TimePoint Last{Millis(this->LastRound.load())};
  return Now - Last <
         std::max(LeastLag, RoundsAllowed * this->Config.PollInterval);
}

bool Board::isGroupServing(Fence Group, TimePoint Now) const {
  std::optional<GroupHealth> Row = this->Health.read(
      [&](const HealthTable &Rows) { return Rows.find(Group); });
  if (!Row || !Row->Ready)
    return false;
  if (Row->Owner == this->Self.Hash)
    return this->hasFreshMemberState(Now);
  return this->Peers.read([&](const PeerTable &Rows) {
    const Peer *Owner = Rows.find(Row->Owner);
    return Owner && Rows.isLive(Row->Owner, Now) && Owner->has(MembersFresh);
  });
}

bool Board::isGroupBroken(Fence Group) const {
  return this->Health.read([&](const HealthTable &Rows) {
    std::optional<GroupHealth> Row = Rows.find(Group);
    return Row && !Row->Ready;
  });
}

std::vector<NodeHash> Board::controllers(TimePoint Now) const {
  std::vector<NodeHash> Rows = this->Peers.read([&](const PeerTable &Peers) {
    std::vector<NodeHash> Found;
    for (const Member &Row : Peers.liveMembers(Now))
      if (Row.DataCentre == this->Self.DataCentre &&
          !Peers.find(Row.Node)->has(StoppingNode))
        Found.push_back(Row.Node);
    return Found;
  });
  if (!this->Stopping)
    Rows.push_back(this->Self.Hash);
  return Rows;
}

std::vector<Member> Board::members(TimePoint Now) const {
  std::vector<Member> Rows = this->Peers.read(
      [&](const PeerTable &Peers) { return Peers.liveMembers(Now); });
  Rows.push_back({this->Self.Hash, this->Self.DataCentre});
  return Rows;
}

WallMs Board::leavingUntil(WallMs Now) {
  return WallMs(Now.Value + LeavingNewsMs);
}

} // namespace waycove
