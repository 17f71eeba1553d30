// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/routing.h"

#include <algorithm>

namespace waycove {

namespace {

/// Normalizes a host for lookups: without port, in lower case.
std::string hostKey(std::string_view Host) {
  std::string Key(Host.substr(0, Host.find(':')));
  std::transform(Key.begin(), Key.end(), Key.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Key;
}

} // namespace

const ModelSpec *EngineSpec::model(std::string_view Name) const {
  auto At =
      std::find_if(this->Models.begin(), this->Models.end(),
                   [&](const ModelSpec &Model) { return Model.Name == Name; });
  return At == this->Models.end() ? nullptr : &*At;
}

void RoutingConfig::addRoute(HttpRoute Route) {
  std::string Key = hostKey(Route.Host);
  this->ByHost[Key].push_back(std::move(Route));
}

void RoutingConfig::sortRoutes() {
  for (auto &[Host, Routes] : this->ByHost)
    std::stable_sort(Routes.begin(), Routes.end(),
                     [](const HttpRoute &Left, const HttpRoute &Right) {
                       return Left.Prefix.size() > Right.Prefix.size();
                     });
}

const HttpRoute *RoutingConfig::find(std::string_view Host,
                                     std::string_view Path) const {
  auto At = this->ByHost.find(hostKey(Host));
  if (At == this->ByHost.end())
    return nullptr;
  for (const HttpRoute &Route : At->second)
    if (Path.starts_with(Route.Prefix))
      return &Route;
  return nullptr;
}

const ServiceSpec *RoutingConfig::service(const ServiceId &Id) const {
  auto At = this->Services.find(Id);
  return At == this->Services.end() ? nullptr : &At->second;
}

bool mayRunIn(const HttpRoute &Route, const KeyOwner *Owner,
              const RegionId &Region) {
  auto Allows = [&](const Homes &Regions) {
    return !Regions || Regions->contains(Region);
  };
  return Allows(Route.AllowedRegions) &&
         (!Owner || Allows(Owner->AllowedRegions));
}

std::size_t RoutingConfig::routeCount() const {
  std::size_t Count = 0;
  for (const auto &[Host, Routes] : this->ByHost)
    Count += Routes.size();
  return Count;
}

std::size_t RoutingConfig::countRoutes(
    const std::function<bool(const HttpRoute &)> &Matches) const {
  std::size_t Count = 0;
  for (const auto &[Host, Routes] : this->ByHost)
    Count += static_cast<std::size_t>(
        std::count_if(Routes.begin(), Routes.end(), Matches));
  return Count;
}

const ServiceId &pickBackend(const HttpRoute &Route, std::uint64_t Random) {
  std::uint64_t Sum = 0;
  for (const RouteBackend &Backend : Route.Backends)
    Sum += Backend.Weight;
  std::uint64_t Point = Sum ? Random % Sum : 0;
  for (const RouteBackend &Backend : Route.Backends) {
    if (Point < Backend.Weight)
      return Backend.Service;
    Point -= Backend.Weight;
  }
  return Route.Backends.back().Service;
}

} // namespace waycove
