// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace waycove {

/// What may be done with a request whose outcome is not known.
enum class RouteKind {
  /// May run more than once.
  Idempotent,
  /// Runs at most once.
  Once,
  /// A stream of events; resumable where the route says so, else as Once.
  Stream,
};

/// One of the services between which a route splits its requests.
struct RouteBackend {
  ServiceId Service;
  std::uint32_t Weight = 1;
};

/// One entry of the operators' routing configuration.
struct HttpRoute {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  RouteKind Kind = RouteKind::Once;
  /// Longest time that a request may be held.
  Millis Timeout{0};
  /// Latency objective: to the answer, or to a stream's first event.
  Millis Goal{0};
  /// Longest pause between two events that still counts as in time.
  Millis PauseGoal{0};
  /// 0 is the most urgent.
  unsigned Priority = 0;
  unsigned MaxAttempts = 1;
  /// Needs no API key.
  bool Public = false;
  bool Resumable = false;
  std::vector<RouteBackend> Backends;

  bool mayRepeat() const {
    return this->Kind == RouteKind::Idempotent ||
           (this->Kind == RouteKind::Stream && this->Resumable);
  }
};

/// A model as the operators size it.
struct ModelSpec {
  std::string Name;
  /// VMs of one group.
  unsigned GroupSize = 1;
  /// Expected part of the work, 0 to 1.
  double LoadFraction = 1;
  /// Factor on all times of the engine; below 1 is faster.
  double TimeFactor = 1;
  Millis LoadTime{0};
  /// Load time where the host has the weights staged.
  Millis StagedLoadTime{0};
};

/// What the forming of groups needs to know of a service's model engines.
struct EngineSpec {
  /// Loads that may begin in a second, over all domains.
  double LoadsPerSecond = 1;
  /// Loads that run at the same time at full speed; with more, each is slower.
  unsigned LoadsAtOnce = 1;
  unsigned ModelsStagedPerHost = 0;
  /// How fast one group is, as the operators state it; 0 where they do not: a
  /// step, which makes a token for each request that writes, takes StepMillis
  /// and so much longer for each of these. Slots requests run at a time.
  double StepMillis = 0;
  double StepMillisPerRequest = 0;
  unsigned Slots = 0;
  double ReadTokensPerSecond = 0;
  /// Tokens of a usual answer.
  double TypicalOutputTokens = 0;
  std::vector<ModelSpec> Models;

  const ModelSpec *model(std::string_view Name) const;
};

struct ServiceSpec {
  ServiceId Id;
  /// Connections that one target takes from all callers together.
  unsigned MaxConnections = 1;
  /// Set for services whose targets run models.
  std::optional<EngineSpec> Engine;

  /// Whether its targets serve as groups that have to be formed. Engines
  /// without models to group serve each alone, as plain targets do.
  bool hasGroups() const {
    return this->Engine && !this->Engine->Models.empty();
  }
};

/// Bounds on what callers send.
struct CallerLimits {
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 4 << 20;
  Millis HeaderTimeout{3000};
  Millis IdleTimeout{15000};
};

/// To whom an API key belongs.
struct KeyOwner {
  WorkspaceId Workspace;
  /// Goes before a route's priority where set.
  std::optional<unsigned> Priority;
};

/// One whole version of the operators' routing configuration, compiled for
/// look-ups. Immutable once built; requests share it.
class RoutingConfig {
public:
  std::uint64_t Version = 0;
  CallerLimits Limits;
  std::map<ServiceId, ServiceSpec> Services;
  /// Whether keys are needed at all (on routes that are not public).
  bool HasWorkspaces = false;
  std::unordered_map<std::string, KeyOwner> Keys;

  void addRoute(HttpRoute Route);
  /// To be called once all routes are in.
  void sortRoutes();
  /// The route of \p Host with the longest prefix of \p Path; null for none.
  const HttpRoute *find(std::string_view Host, std::string_view Path) const;
  const ServiceSpec *service(const ServiceId &Id) const;
  std::size_t routeCount() const;

private:
  /// Per host, the longest prefixes first.
  std::unordered_map<std::string, std::vector<HttpRoute>> ByHost;
};

using RoutingConfigRef = std::shared_ptr<const RoutingConfig>;

/// Picks one of the route's services by weight; \p Random is uniform bits.
const ServiceId &pickBackend(const HttpRoute &Route, std::uint64_t Random);

} // namespace waycove
