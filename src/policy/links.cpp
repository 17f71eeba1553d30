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
  std::vector<NodeHash> Rows;
  for (const Member &Row : Live)
    if (Row.DataCentre == DataCentre)
      Rows.push_back(Row.Node);
  std::sort(Rows.begin(), Rows.end());
  return Rows;
}

void addOnce(std::vector<NodeHash> &Rows, NodeHash Self, NodeHash Node) {
  if (Node != Self && std::find(Rows.begin(), Rows.end(), Node) == Rows.end())
    Rows.push_back(Node);
}

/// Steps that a member links over on a ring of \p Size places.
std::vector<std::size_t> stepsFor(std::size_t Size) {
  std::vector<std::size_t> Steps{1};
  if (Size > 3)
    Steps.push_back(static_cast<std::size_t>(
        std::lround(std::sqrt(static_cast<double>(Size)))));
  return Steps;
}

} // namespace

std::vector<NodeHash> relaysOf(std::span<const Member> Live,
                               const DataCentreId &DataCentre) {
  return rendezvousTop(membersOf(Live, DataCentre), hashText(DataCentre.Text),
                       RelaysPerDataCentre);
}

std::vector<NodeHash> chooseLinks(NodeHash Self, std::span<const Member> Live) {
  std::vector<NodeHash> Links;
  auto Own = std::find_if(Live.begin(), Live.end(),
                          [&](const Member &Row) { return Row.Node == Self; });
  if (Own == Live.end())
    return Links;
  // 1. The ring of the own data centre.
  std::vector<NodeHash> Ring = membersOf(Live, Own->DataCentre);
  auto At = static_cast<std::size_t>(std::find(Ring.begin(), Ring.end(), Self) -
                                     Ring.begin());
  for (std::size_t Step : stepsFor(Ring.size()))
    addOnce(Links, Self, Ring[(At + Step) % Ring.size()]);
  // 2. Relays: the ring of data centres.
  std::vector<NodeHash> Relays = relaysOf(Live, Own->DataCentre);
  if (std::find(Relays.begin(), Relays.end(), Self) == Relays.end())
    return Links;
  std::vector<DataCentreId> Centres;
  for (const Member &Row : Live)
    Centres.push_back(Row.DataCentre);
  std::sort(Centres.begin(), Centres.end());
  Centres.erase(std::unique(Centres.begin(), Centres.end()), Centres.end());
  auto Place = static_cast<std::size_t>(
      std::find(Centres.begin(), Centres.end(), Own->DataCentre) -
      Centres.begin());
  for (std::size_t Step : stepsFor(Centres.size()))
    for (NodeHash Node :
         relaysOf(Live, Centres[(Place + Step) % Centres.size()]))
      addOnce(Links, Self, Node);
  return Links;
}

} // namespace waycove
