// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Which nodes are asked for a way to targets, in virtual time.
#include "policy/way_selector.h"
#include "support/times.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace waycove::test {

namespace {

constexpr std::size_t Centres = 3;

/// Nodes n0, n1 and so on, dealt to the data centres c0 to c2.
NodeRanking nodesInCentres(std::size_t Count) {
  NodeTable Nodes;
  for (std::size_t I = 0; I < Count; ++I) {
    NodeInfo Info;
    Info.Node = NodeId("n" + std::to_string(I));
    Info.DataCentre = DataCentreId("c" + std::to_string(I % Centres));
    Nodes[Info.Node] = Info;
  }
  return NodeRanking(Nodes);
}

/// What became of requests at nodes without links.
struct Outcome {
  std::size_t Carried = 0;
  std::size_t NoWay = 0;
  std::size_t Asked = 0;
  /// By the node that carried.
  std::map<NodeId, std::size_t> Loads;
};

/// Those of \p Nodes for which \p IsCutOff holds get requests in turn, 20 a
/// second each, for ten seconds, and hand them over.
template <typename F> Outcome play(const NodeRanking &Nodes, F IsCutOff) {
  Outcome Found;
  std::map<NodeId, WaySelector> Selectors;
  std::uint64_t Random = 0;
  for (int Ms = 0; Ms < 10000; Ms += 50)
    for (const auto &[Id, Me] : Nodes.nodes()) {
      if (!IsCutOff(Me))
        continue;
      WaySelector &Ways = Selectors[Id];
      bool Carried = false;
      for (const NodeInfo &Other : Ways.candidates(
               Nodes, Me, [](const NodeInfo &) { return true; },
               mixHash(7, ++Random), at(Ms))) {
        ++Found.Asked;
        if (IsCutOff(Other)) {
          Ways.onNoWay(Other, at(Ms));
          continue;
        }
        Ways.onWay(Other);
        ++Found.Loads[Other.Node];
        Carried = true;
        break;
      }
      ++(Carried ? Found.Carried : Found.NoWay);
    }
  return Found;
}

} // namespace

// Guards against requests that find no way although half of the nodes have one,
// and against a way that all of them take.
TEST_CASE("way selector: half of 9, 86 and 984 nodes are cut off: nearly all "
          "requests find a way, and the load is spread",
          "[unit]") {
  for (std::size_t Count : {9, 86, 984}) {
    CAPTURE(Count);
    NodeRanking Nodes = nodesInCentres(Count);
    Outcome Found = play(Nodes, [](const NodeInfo &Node) {
      return mixHash(3, hashText(Node.Node.Text)) % 2 == 0;
    });
    CHECK(Found.NoWay * 50 <= Found.Carried);
    CHECK(Found.Asked <= 3 * (Found.Carried + Found.NoWay));
    std::size_t Most = 0;
    for (const auto &[Node, Load] : Found.Loads)
      Most = std::max(Most, Load);
    CHECK(Most * Found.Loads.size() <= 3 * Found.Carried);
  }
}

// Guards against a data centre whose nodes are all cut off and find no way,
// because they ask only each other.
TEST_CASE("way selector: all nodes of a data centre are cut off: those of "
          "others are asked",
          "[unit]") {
  for (std::size_t Count : {9, 86, 984}) {
    CAPTURE(Count);
    NodeRanking Nodes = nodesInCentres(Count);
    Outcome Found = play(Nodes, [](const NodeInfo &Node) {
      return Node.DataCentre == DataCentreId("c1");
    });
    CHECK(Found.NoWay * 50 <= Found.Carried);
    CHECK(Found.Asked <= 2 * Found.Carried);
  }
}

// Guards against requests that leave the regions that their labels allow.
TEST_CASE("way selector: some nodes must not carry the request: they are not "
          "asked, and the own data centre comes first",
          "[unit]") {
  NodeRanking Nodes = nodesInCentres(9);
  const NodeInfo &Me = Nodes.nodes().at(NodeId("n0"));
  WaySelector Ways;
  for (std::uint64_t Random = 0; Random < 50; ++Random) {
    std::vector<NodeInfo> Found = Ways.candidates(
        Nodes, Me,
        [](const NodeInfo &Node) {
          return Node.DataCentre != DataCentreId("c1");
        },
        Random, at(0));
    REQUIRE(Found.size() == 5);
    for (std::size_t I = 0; I < Found.size(); ++I) {
      CHECK(Found[I].Node != Me.Node);
      CHECK(Found[I].DataCentre == DataCentreId(I < 2 ? "c0" : "c2"));
    }
  }
  Ways.onUnreachable(NodeId("n3"), at(0));
  auto Asked = Ways.candidates(
      Nodes, Me, [](const NodeInfo &) { return true; }, 1, at(10));
  CHECK(std::none_of(Asked.begin(), Asked.end(), [](const NodeInfo &Node) {
    return Node.Node == NodeId("n3");
  }));
}

} // namespace waycove::test
