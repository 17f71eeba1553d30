// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/links.h"

#include "policy/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace waycove {

namespace {

constexpr std::size_t RelaysPerDataCentre = 2;

std::vector<NodeHash> membersOf(std::span<const Member> Live,
                                const DataCentreId &DataCentre) {
  std::vector<NodeHash> Nodes;
  for (const Member &Peer : Live)
    if (Peer.DataCentre == DataCentre)
      Nodes.push_back(Peer.Node);
  std::sort(Nodes.begin(), Nodes.end());
  return Nodes;
}

void addUnique(std::vector<NodeHash> &Nodes, NodeHash Self, NodeHash Node) {
  if (Node != Self &&
      std::find(Nodes.begin(), Nodes.end(), Node) == Nodes.end())
    Nodes.push_back(Node);
}

/// Returns the distances of the links of a member in a ring of \p Size places.
std::vector<std::size_t> linkDistances(std::size_t Size) {
  std::vector<std::size_t> Distances{1};
  if (Size > 3)
    Distances.push_back(static_cast<std::size_t>(
        std::lround(std::sqrt(static_cast<double>(Size)))));
  return Distances;
}

} // namespace

std::vector<NodeHash> relaysOf(std::span<const Member> Live,
                               const DataCentreId &DataCentre) {
  return rendezvousTop(membersOf(Live, DataCentre), hashText(DataCentre.Text),
                       RelaysPerDataCentre);
}

std::vector<NodeHash> chooseLinks(NodeHash Self, std::span<const Member> Live) {
  std::vector<NodeHash> Links;
  auto Own = std::find_if(Live.begin(), Live.end(), [&](const Member &Peer) {
    return Peer.Node == Self;
  });
  if (Own == Live.end())
    return Links;
  // 1. The ring within the data centre.
  std::vector<NodeHash> Ring = membersOf(Live, Own->DataCentre);
  auto At = static_cast<std::size_t>(std::find(Ring.begin(), Ring.end(), Self) -
                                     Ring.begin());
  for (std::size_t Distance : linkDistances(Ring.size()))
    addUnique(Links, Self, Ring[(At + Distance) % Ring.size()]);
  // 2. For relays, the ring of data centres.
  std::vector<NodeHash> Relays = relaysOf(Live, Own->DataCentre);
  if (std::find(Relays.begin(), Relays.end(), Self) == Relays.end())
    return Links;
  std::vector<DataCentreId> Centres;
  for (const Member &Peer : Live)
    Centres.push_back(Peer.DataCentre);
  std::sort(Centres.begin(), Centres.end());
  Centres.erase(std::unique(Centres.begin(), Centres.end()), Centres.end());
  auto Place = static_cast<std::size_t>(
      std::find(Centres.begin(), Centres.end(), Own->DataCentre) -
      Centres.begin());
  for (std::size_t Distance : linkDistances(Centres.size()))
    for (NodeHash Node :
         relaysOf(Live, Centres[(Place + Distance) % Centres.size()]))
      addUnique(Links, Self, Node);
  return Links;
}

} // namespace waycove
