// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"
#include "policy/evacuations.h"
#include "policy/route.h"
#include "policy/routing.h"

#include <map>
#include <memory>
#include <set>

namespace waycove {

/// State of a VM within its group, as announced by the VM.
enum class MemberState { Joining, Ready, Open, Closing, Broken };

/// Identifies one incarnation of a group by name and epoch.
struct GroupKey {
  std::string Name;
  std::uint64_t Epoch = 0;
  // Defaulted by the compiler. NOLINTNEXTLINE
  auto operator<=>(const GroupKey &) const = default;
};

/// A VM's rank and state in a group.
struct Membership {
  GroupKey Group;
  /// Rank 0 is the head, which receives the group's requests.
  unsigned Rank = 0;
  MemberState State = MemberState::Joining;
};

/// A target as last listed by the platform's registry.
struct TargetInfo {
  VmId Id;
  /// As in its VmIncarnation.
  WallMs StartedAt;
  ServiceId Service;
  VmAddress Address;
  DataCentreId DataCentre;
  DomainId Domain;
  bool Draining = false;
  /// Incremented with each write of this incarnation; the entry with the larger
  /// number is the later one.
  std::uint64_t Sequence = 0;
  /// Requests that it runs at the same time; 0 if unknown. Does not hold for
  /// members of a group, whose slots belong to the group.
  unsigned Slots = 0;
  /// How much longer it stayed cold when it wrote this.
  Millis ColdRemaining{0};
  /// Models whose weights are staged on its host.
  std::vector<std::string> Staged;
  /// Models whose weights the VM has loaded.
  std::vector<std::string> Loaded;
  std::optional<Membership> Group;

  VmIncarnation incarnation() const { return {this->Id, this->StartedAt}; }
  bool hasStaged(const std::string &Model) const;
  bool hasLoaded(const std::string &Model) const;
};

using TargetRef = std::shared_ptr<const TargetInfo>;

/// A target that the registry removed recently.
struct RemovedTarget {
  /// As last listed.
  TargetRef Last;
  /// When it was removed.
  TimePoint Since;
};

/// All targets that the registry lists.
struct Fleet {
  std::map<VmId, TargetRef> Targets;
  /// Of these, the entries that vanished while the store was unavailable; they
  /// may be listed again, or the targets may have left.
  std::set<VmId> Retained;
  /// Recently removed targets. A group whose head is among them may still
  /// serve.
  std::map<VmId, RemovedTarget> Removed;
  /// Until when targets are cold, as they last announced.
  std::map<VmId, TimePoint> ColdUntil;
  /// Incremented with each change.
  std::uint64_t Version = 0;
  /// Position of the last registry record applied; comparable across nodes.
  StorePosition Registry;
};

/// Group names contain the model, so that any node can tell from the registry
/// how many members a complete group has.
std::string groupName(const std::string &Model, const DomainId &Domain,
                      std::uint64_t Epoch);
/// Name of a load group: one VM that only loads the model's weights. Load
/// groups are never opened.
std::string loadGroupName(const std::string &Model, const DomainId &Domain,
                          std::uint64_t Epoch);
bool isLoadGroup(const std::string &GroupName);
/// The model of a group named by groupName() or loadGroupName(); empty for
/// other names.
std::string modelOf(const std::string &GroupName);

/// A target that can take requests: a plain one, or the head of a complete,
/// open group.
struct ServingTarget {
  TargetRef Target;
  /// Empty for plain services.
  std::string Model;
  /// Its entry is retained; used only where no other target serves.
  bool Retained = false;
  /// Takes few requests until then.
  TimePoint ColdUntil{};
  /// Requests that it runs at the same time; 0 if unknown.
  unsigned Slots = 0;
};

/// Targets that requests are routed to, by service. Immutable; rebuilt after
/// each change of the fleet.
struct ServingView {
  std::map<ServiceId, std::vector<ServingTarget>> ByService;
  std::uint64_t FleetVersion = 0;
  /// Fleet::Registry at the time of building.
  StorePosition Registry;
};

using ServingViewRef = std::shared_ptr<const ServingView>;

/// Builds the view. A group serves only if its head is listed as open and every
/// rank was last announced with the same name and epoch, so a member that moved
/// to another group takes effect at once. Targets in evacuated data centres do
/// not serve; after an evacuation they count as cold.
ServingViewRef makeServingView(const RoutingConfig &Config,
                               const Fleet &Current,
                               const Evacuations &Evacuated);

} // namespace waycove
