// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "board/board.h"

#include "policy/rendezvous.h"

namespace waycove {

namespace {

constexpr std::size_t MaxStoredResponseBytes = 32 << 20;
constexpr std::uint64_t LeavingNoticeMs = 120000;
/// Member state is fresh if the group controller finished a round within this
/// many poll intervals, or within MinLag if that is longer.
constexpr int MaxLagRounds = 5;
constexpr Millis MinLag(1000);

} // namespace

ViewRef ViewTable::find(const ObjectKey &Key) const {
  auto At = this->Rows.find(Key);
  return At == this->Rows.end() ? nullptr : At->second;
}

Board::Board(const Settings &Config, const IncarnationId &Incarnation)
    : Config(Config), Self{Config.Node, Incarnation, Config.DataCentre,
                           hashNode(Config.Node, Incarnation)},
      Log(Config.Node, this->Clock), Idempotency(MaxStoredResponseBytes) {
  this->Peers.write([&](PeerTable &Peers) {
    Peers.LocalDataCentre = Config.DataCentre;
    Peers.LivenessTimeout = std::max(Millis(600), 4 * Config.HeartbeatInterval);
  });
}

bool Board::hasFreshMemberState(TimePoint Now) const {
  TimePoint Last{Millis(this->LastRound.load())};
  return Now - Last <
         std::max(MinLag, MaxLagRounds * this->Config.PollInterval);
}

bool Board::isGroupServing(Fence Group, TimePoint Now) const {
  return this->reasonNotServing(Group, Now).empty();
}

std::string Board::reasonNotServing(Fence Group, TimePoint Now) const {
  std::optional<GroupHealth> Reported = this->Health.read(
      [&](const HealthTable &Groups) { return Groups.find(Group); });
  if (!Reported)
    return "its controller has not reported it yet";
  if (!Reported->Ready)
    return "its controller reported it as not ready";
  if (Reported->Owner == this->Self.Hash)
    return this->hasFreshMemberState(Now)
               ? ""
               : "this node has no fresh state of its members";
  return this->Peers.read([&](const PeerTable &Peers) -> std::string {
    const Peer *Owner = Peers.find(Reported->Owner);
    if (!Owner || !Peers.isLive(Reported->Owner, Now))
      return "its controller is not live";
    return Owner->has(MembersFresh)
               ? ""
               : "its controller has no fresh state of its members";
  });
}

bool Board::isGroupBroken(Fence Group) const {
  return this->Health.read([&](const HealthTable &Groups) {
    std::optional<GroupHealth> Reported = Groups.find(Group);
    return Reported && !Reported->Ready;
  });
}

std::vector<NodeHash> Board::controllers(TimePoint Now) const {
  std::vector<NodeHash> Nodes = this->Peers.read([&](const PeerTable &Peers) {
    std::vector<NodeHash> Found;
    for (const Member &Live : Peers.liveMembers(Now))
      if (Live.DataCentre == this->Self.DataCentre &&
          !Peers.find(Live.Node)->has(StoppingNode))
        Found.push_back(Live.Node);
    return Found;
  });
  if (!this->Stopping)
    Nodes.push_back(this->Self.Hash);
  return Nodes;
}

std::vector<Member> Board::members(TimePoint Now) const {
  std::vector<Member> Live = this->Peers.read(
      [&](const PeerTable &Peers) { return Peers.liveMembers(Now); });
  Live.push_back({this->Self.Hash, this->Self.DataCentre});
  return Live;
}

WallMs Board::leavingUntil(WallMs Now) {
  return WallMs(Now.Value + LeavingNoticeMs);
}

} // namespace waycove
