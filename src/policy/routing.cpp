// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/routing.h"

#include <algorithm>

namespace waycove {

namespace {

/// A host as look-ups compare it: without port, in lower case.
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
                   [&](const ModelSpec &Row) { return Row.Name == Name; });
  return At == this->Models.end() ? nullptr : &*At;
}

void RoutingConfig::addRoute(HttpRoute Route) {
  std::string Key = hostKey(Route.Host);
  this->ByHost[Key].push_back(std::move(Route));
}

void RoutingConfig::sortRoutes() {
  for (auto &[Host, Rows] : this->ByHost)
    std::stable_sort(Rows.begin(), Rows.end(),
                     [](const HttpRoute &Left, const HttpRoute &Right) {
                       return Left.Prefix.size() > Right.Prefix.size();
                     });
}

const HttpRoute *RoutingConfig::find(std::string_view Host,
                                     std::string_view Path) const {
  auto At = this->ByHost.find(hostKey(Host));
  if (At == this->ByHost.end())
    return nullptr;
  for (const HttpRoute &Row : At->second)
    if (Path.starts_with(Row.Prefix))
      return &Row;
  return nullptr;
}

const ServiceSpec *RoutingConfig::service(const ServiceId &Id) const {
  auto At = this->Services.find(Id);
  return At == this->Services.end() ? nullptr : &At->second;
}

std::size_t RoutingConfig::routeCount() const {
  std::size_t Count = 0;
  for (const auto &[Host, Rows] : this->ByHost)
    Count += Rows.size();
  return Count;
}

const ServiceId &pickBackend(const HttpRoute &Route, std::uint64_t Random) {
  std::uint64_t Sum = 0;
  for (const RouteBackend &Row : Route.Backends)
    Sum += Row.Weight;
  std::uint64_t Point = Sum ? Random % Sum : 0;
  for (const RouteBackend &Row : Route.Backends) {
    if (Point < Row.Weight)
      return Row.Service;
    Point -= Row.Weight;
  }
  return Route.Backends.back().Service;
}

} // namespace waycove
