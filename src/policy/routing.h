// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace waycove {

/// How a request with an unknown outcome may be retried.
enum class RouteKind {
  /// May run more than once.
  Idempotent,
  /// Runs at most once.
  Once,
  /// A stream of events; resumable if the route says so, otherwise like Once.
  Stream,
};

/// Regions in which requests may be processed; unset for all regions.
using Homes = std::optional<std::set<RegionId>>;

/// One of the services that a route splits its requests between.
struct RouteBackend {
  ServiceId Service;
  std::uint32_t Weight = 1;
};

/// One route of the routing configuration.
struct HttpRoute {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  RouteKind Kind = RouteKind::Once;
  /// Timeout of a request.
  Millis Timeout{0};
  /// Latency objective: time to the response, or to the first event of a
  /// stream.
  Millis Goal{0};
  /// Latency objective for the time between two events of a stream.
  Millis PauseGoal{0};
  /// Callers give up when nothing arrives for this long; 0 if unknown.
  Millis Patience{0};
  /// 0 is the most urgent. Not the scale of FairOffer::Priority, where a higher
  /// value is served first; the two are never converted.
  unsigned Priority = 0;
  unsigned MaxAttempts = 1;
  /// Needs no API key.
  bool Public = false;
  bool Resumable = false;
  Homes AllowedRegions;
  std::vector<RouteBackend> Backends;

  bool mayRepeat() const {
    return this->Kind == RouteKind::Idempotent ||
           (this->Kind == RouteKind::Stream && this->Resumable);
  }
};

/// Configured properties of a model.
struct ModelSpec {
  std::string Name;
  /// VMs of one group.
  unsigned GroupSize = 1;
  /// Expected fraction of the load, 0 to 1.
  double LoadFraction = 1;
  /// Factor on all engine times; below 1 is faster.
  double TimeFactor = 1;
  Millis LoadTime{0};
  /// Load time if the host has the weights staged.
  Millis StagedLoadTime{0};
};

/// Configured properties of a service's model engines, for group formation.
struct EngineSpec {
  /// Maximum loads started per second, over all domains.
  double LoadsPerSecond = 1;
  /// Concurrent loads at full speed; more slow each other down.
  unsigned LoadsAtOnce = 1;
  unsigned ModelsStagedPerHost = 0;
  /// Speed of one group; 0 if not configured. A step produces one token for
  /// each request in generation and takes StepMillis plus StepMillisPerRequest
  /// for each of these. Up to Slots requests run concurrently.
  double StepMillis = 0;
  double StepMillisPerRequest = 0;
  unsigned Slots = 0;
  double ReadTokensPerSecond = 0;
  /// Output tokens of a typical response.
  double TypicalOutputTokens = 0;
  std::vector<ModelSpec> Models;

  const ModelSpec *model(std::string_view Name) const;
};

struct ServiceSpec {
  ServiceId Id;
  /// Connections that one target accepts from all nodes together.
  unsigned MaxConnections = 1;
  /// How long a target stays cold after a start during traffic.
  Millis ColdDuration{0};
  /// Requests that a cold target takes per second from all nodes together; 0
  /// for no limit.
  double ColdRate = 0;
  /// Set if the targets run models.
  std::optional<EngineSpec> Engine;

  /// Returns true if its targets serve as groups that have to be formed.
  /// Engines without configured models serve individually, like plain targets.
  bool hasGroups() const {
    return this->Engine && !this->Engine->Models.empty();
  }
};

/// Limits on requests of callers.
struct CallerLimits {
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 4 << 20;
  Millis HeaderTimeout{3000};
  Millis IdleTimeout{15000};
};

/// Owner of an API key.
struct KeyOwner {
  WorkspaceId Workspace;
  /// Overrides the priority of the route if set.
  std::optional<unsigned> Priority;
  Homes AllowedRegions{};
};

/// Whether a request on \p Route of \p Owner, null for none, may be processed
/// in \p Region. Both the route's and the owner's regions bind.
bool mayRunIn(const HttpRoute &Route, const KeyOwner *Owner,
              const RegionId &Region);
/// Whether the route or the owner allows only some regions.
inline bool isRegional(const HttpRoute &Route, const KeyOwner *Owner) {
  return Route.AllowedRegions || (Owner && Owner->AllowedRegions);
}

/// One version of the routing configuration, compiled for lookups. Immutable
/// once built and shared by requests.
class RoutingConfig {
public:
  std::uint64_t Version = 0;
  CallerLimits Limits;
  std::map<ServiceId, ServiceSpec> Services;
  /// Whether routes that are not public require API keys.
  bool HasWorkspaces = false;
  std::unordered_map<std::string, KeyOwner> Keys;

  void addRoute(HttpRoute Route);
  /// Call after all routes were added.
  void sortRoutes();
  /// Returns the route of \p Host with the longest prefix of \p Path, or null.
  const HttpRoute *find(std::string_view Host, std::string_view Path) const;
  const ServiceSpec *service(const ServiceId &Id) const;
  std::size_t routeCount() const;
  /// Returns the number of routes for which \p Matches returns true.
  std::size_t
  countRoutes(const std::function<bool(const HttpRoute &)> &Matches) const;

private:
  /// By host, longest prefix first.
  std::unordered_map<std::string, std::vector<HttpRoute>> ByHost;
};

using RoutingConfigRef = std::shared_ptr<const RoutingConfig>;

/// Chooses one of the services of the route by weight; \p Random is uniformly
/// distributed bits.
const ServiceId &pickBackend(const HttpRoute &Route, std::uint64_t Random);

} // namespace waycove
