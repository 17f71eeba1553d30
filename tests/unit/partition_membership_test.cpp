// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Membership of the nodes that partitions are assigned to. Guards against
// renewals that grow with the number of nodes.
#include "policy/partition_membership.h"
#include "support/times.h"

#include <catch2/catch.hpp>

namespace waycove::test {

/// Nodes of a data centre that all know each other and learn of renewals with a
/// delay.
struct PartitionMembershipFixture {
  explicit PartitionMembershipFixture(int Count = 59) {
    NodeTable Nodes;
    for (int I = 0; I < Count; ++I) {
      NodeInfo Row;
      Row.Node = NodeId("n" + std::to_string(I));
      Row.DataCentre = DataCentreId("a");
      Nodes[Row.Node] = Row;
    }
    this->Order = NodeRanking(Nodes).readers(DataCentreId("a"));
    for (const NodeInfo &Row : this->Order)
      this->Rows[Row.Node];
  }

  /// Advances by \p Ms; members renew every 0.5 s, and each node decides then.
  void run(int Ms) {
    for (int End = this->NowMs + Ms; this->NowMs < End; this->NowMs += Step)
      for (auto &[Id, Row] : this->Rows)
        if (!Row.Dead)
          this->decide(Id, Row);
  }
  std::size_t members() const {
    return static_cast<std::size_t>(
        std::count_if(this->Rows.begin(), this->Rows.end(), [](const auto &R) {
          return R.second.Member && !R.second.Dead;
        }));
  }
  void kill(std::size_t From, std::size_t Count) {
    for (std::size_t I = From; I < From + Count; ++I)
      this->Rows[this->Order[I].Node].Dead = true;
  }
  void restart(std::size_t From, std::size_t Count) {
    for (std::size_t I = From; I < From + Count; ++I)
      this->Rows[this->Order[I].Node] = {};
  }

  static constexpr int Step = 500;
  static constexpr int DelayMs = 1000;
  static constexpr std::size_t Wanted = 6;

  struct Node {
    PartitionMembership Decision;
    bool Member = false;
    bool Dead = false;
  };
  std::vector<NodeInfo> Order;
  std::map<NodeId, Node> Rows;
  std::map<NodeId, std::vector<int>> RenewedMs;
  int NowMs = 0;
  bool HoldsPartitions = false;

private:
  void decide(const NodeId &Id, Node &Row) {
    MembershipRenewals Known;
    for (const auto &[Other, Times] : this->RenewedMs)
      for (int Ms : Times)
        if (Ms + DelayMs <= this->NowMs || Other == Id)
          Known.record(memberHash(Other), at(Ms));
    Row.Member = Row.Decision.decide({this->Order, Id, Known, Wanted,
                                      this->HoldsPartitions, at(this->NowMs)});
    if (Row.Member)
      this->RenewedMs[Id].push_back(this->NowMs);
  }
};

TEST_CASE("share members: parts by data centre: one each and a spare",
          "[unit]") {
  CHECK(requiredMembers(24, 5) == 6);
  CHECK(requiredMembers(12, 3) == 5);
  CHECK(requiredMembers(12, 1) == 13);
  CHECK(requiredMembers(12, 0) == 13);
}

TEST_CASE_METHOD(PartitionMembershipFixture,
                 "share members: many nodes start: as many as are wanted",
                 "[unit]") {
  this->run(500);
  CHECK(this->members() == Wanted);
  this->run(20000);
  CHECK(this->members() == Wanted);
  for (std::size_t I = 0; I < Wanted; ++I)
    CHECK(this->Rows[this->Order[I].Node].Member);
}

TEST_CASE("share members: fewer nodes than are wanted: all of them", "[unit]") {
  PartitionMembershipFixture Few(3);
  Few.run(500);
  CHECK(Few.members() == 3);
}

TEST_CASE_METHOD(PartitionMembershipFixture,
                 "share members: some members die: the next nodes step in",
                 "[unit]") {
  this->run(5000);
  this->kill(0, 4);
  this->run(8000);
  CHECK(this->members() >= Wanted);
  CHECK(this->members() <= Wanted + 4);
}

TEST_CASE_METHOD(PartitionMembershipFixture,
                 "share members: all members die: others step in, not all",
                 "[unit]") {
  this->run(5000);
  this->kill(0, Wanted);
  this->run(10000);
  CHECK(this->members() >= Wanted);
  CHECK(this->members() <= 2 * Wanted);
}

TEST_CASE_METHOD(PartitionMembershipFixture,
                 "share members: the first nodes are back: those that hold "
                 "nothing go",
                 "[unit]") {
  this->run(5000);
  this->kill(0, 4);
  this->run(8000);
  this->restart(0, 4);
  this->run(20000);
  CHECK(this->members() == Wanted);
}

TEST_CASE_METHOD(PartitionMembershipFixture,
                 "share members: a member holds parts: it stays", "[unit]") {
  this->run(5000);
  this->kill(0, 4);
  this->run(8000);
  std::size_t Before = this->members();
  this->HoldsPartitions = true;
  this->restart(0, 4);
  this->run(20000);
  CHECK(this->members() == Before);
}

TEST_CASE_METHOD(PartitionMembershipFixture,
                 "share members: the directory does not list this node: it "
                 "takes part in the end",
                 "[unit]") {
  PartitionMembership Unlisted;
  NodeId Me("unlisted");
  MembershipRenewals None;
  CHECK_FALSE(Unlisted.decide({this->Order, Me, None, Wanted, false, at(0)}));
  CHECK(Unlisted.decide({this->Order, Me, None, Wanted, false, at(5000)}));
}

} // namespace waycove::test
