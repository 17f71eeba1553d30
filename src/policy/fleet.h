// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"
#include "policy/route.h"
#include "policy/routing.h"

#include <map>
#include <memory>
#include <set>

namespace waycove {

/// How far a VM is in its group, as the VM itself announces it.
enum class MemberState { Joining, Ready, Open, Closing, Broken };

/// Names one life of a group: a name together with its epoch.
struct GroupKey {
  std::string Name;
  std::uint64_t Epoch = 0;
  // The comparison that the compiler makes is no text of ours. NOLINTNEXTLINE
  auto operator<=>(const GroupKey &) const = default;
};

/// A VM's place in a group.
struct Membership {
  GroupKey Group;
  /// 0 is the head, which takes the group's requests.
  unsigned Rank = 0;
  MemberState State = MemberState::Joining;
};

/// A target as the platform's registry last showed it.
struct TargetInfo {
  VmId Id;
  /// As in its VmIncarnation.
  WallMs StartedAt;
  ServiceId Service;
  VmAddress Address;
  DataCentreId DataCentre;
  DomainId Domain;
  bool Draining = false;
  /// Counts what this life wrote of itself: of two entries, the one with the
  /// larger count is the later.
  std::uint64_t Sequence = 0;
  /// Models whose weights lie on its host.
  std::vector<std::string> Staged;
  /// Models that it has loaded.
  std::vector<std::string> Loaded;
  std::optional<Membership> Group;

  VmIncarnation incarnation() const { return {this->Id, this->StartedAt}; }
  bool hasStaged(const std::string &Model) const;
  bool hasLoaded(const std::string &Model) const;
};

using TargetRef = std::shared_ptr<const TargetInfo>;

/// A target that was listed until lately.
struct RemovedTarget {
  TargetRef Last;
  TimePoint Since;
};

/// All targets that the registry lists.
struct Fleet {
  std::map<VmId, TargetRef> Targets;
  /// Of these, those that went while the store was away: their entries may have
  /// lapsed and come back, or they may have left.
  std::set<VmId> Retained;
  /// Those that went a short while ago: a group's head may serve on unseen.
  std::map<VmId, RemovedTarget> Removed;
  /// Rises with each change.
  std::uint64_t Version = 0;
  /// End of the registry's records that this shows; the same on all nodes.
  StorePosition Registry;
};

/// Groups carry their model in their name, so that any node can tell from the
/// registry alone how many members make one whole.
std::string groupName(const std::string &Model, const DomainId &Domain,
                      std::uint64_t Epoch);
/// Names a group of one VM that only loads the model's weights, and is never
/// opened.
std::string loadGroupName(const std::string &Model, const DomainId &Domain,
                          std::uint64_t Epoch);
bool isLoadGroup(const std::string &GroupName);
/// The model of a group named by one of these; empty for another name.
std::string modelOf(const std::string &GroupName);

/// A target that takes requests: a plain one, or the head of a whole, open
/// group.
struct ServingTarget {
  TargetRef Target;
  /// Empty for plain services.
  std::string Model;
  /// Its entry is missing: it is used only where nothing else serves.
  bool Retained = false;
};

/// What requests choose from, by service. Built anew after each change.
struct ServingView {
  std::map<ServiceId, std::vector<ServingTarget>> ByService;
  std::uint64_t FleetVersion = 0;
  /// As in the fleet that it was built from.
  StorePosition Registry;
};

using ServingViewRef = std::shared_ptr<const ServingView>;

/// Builds the view. A group serves only where its head is listed and says open
/// and each of its ranks was last announced under the same name and epoch: a
/// member that has moved to another group is missed at once.
ServingViewRef makeServingView(const RoutingConfig &Config,
                               const Fleet &Targets);

} // namespace waycove
