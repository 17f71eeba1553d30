// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/fleet.h"

#include <chrono>
#include <set>

namespace waycove {

/// What a listed VM of a service with groups does, by the registry.
enum class VmState {
  /// Member of a complete, open group.
  Serving,
  /// Has joined a group that is not open yet: it waits for members, or for the
  /// order to open.
  Forming,
  /// Loads weights for a group that is not open yet, or in a load group.
  Loading,
  /// In a group whose head is gone, broken or in another group.
  Headless,
  /// In a group that lacks a member other than the head: it is gone, broken or
  /// in another group. Also in a group of an unknown model.
  Incomplete,
  /// In a group whose head is closing.
  Closing,
  /// Draining, or in a group whose head is draining.
  Draining,
  /// In a data centre that operators have evacuated.
  Evacuated,
  /// In no group.
  Reserve,
};

std::string_view stateName(VmState State);

/// What VMs are counted by.
struct VmUse {
  ServiceId Service;
  VmState State{};
  /// For Loading: the group's model, if its weights are staged on the VM's
  /// host. Empty where they come from the shared store, and for other states.
  std::string Model;
  // Defaulted by the compiler. NOLINTNEXTLINE
  auto operator<=>(const VmUse &) const = default;
};

/// Sum of the time of several VMs. Microseconds, since nanoseconds of some
/// thousand VMs overflow 64 bits within weeks.
using VmDuration = std::chrono::microseconds;

/// Adds up how long the listed VMs of services with groups were in each state.
/// A VM counts in the state of the last update until the next one. Not
/// thread-safe.
class VmTime {
public:
  /// Adds the time since the last update to the states of that update, and
  /// determines the states as of \p Now.
  void update(const RoutingConfig &Config, const Fleet &Current,
              const Evacuations &Evacuated, TimePoint Now);
  /// Times since the first update. The sum over the states of a service equals
  /// the time for which its VMs were listed.
  const std::map<VmUse, VmDuration> &totals() const { return this->Totals; }
  /// VMs in each state as of the last update; states without VMs are left out.
  const std::map<VmUse, unsigned> &counts() const { return this->Counts; }
  /// Sums of totals() by service.
  std::map<ServiceId, VmDuration> listedTime() const;

private:
  using Ranks = std::set<unsigned>;
  /// A group as announced by its listed members.
  struct Group {
    TargetRef Head;
    /// Ranks that are listed and not broken.
    Ranks Usable;
    /// All ranks that were ever listed, while the group had a listed member.
    Ranks Seen;
    bool Serves = false;

    bool headIs(MemberState State) const {
      return this->Head && this->Head->Group->State == State;
    }
    /// Whether the member was there, but is gone, broken or in another group.
    bool hasLost(unsigned Rank) const {
      return this->Seen.contains(Rank) && !this->Usable.contains(Rank);
    }
    bool hasLostAny() const { return this->Seen.size() > this->Usable.size(); }
  };
  using Groups = std::map<GroupKey, Group>;

  /// What the states follow from. They are not determined again while it is the
  /// same, which would take some 3.5 ms with 2,793 VMs.
  struct Inputs {
    const RoutingConfig *Config = nullptr;
    std::uint64_t ConfigVersion = 0;
    std::uint64_t FleetVersion = 0;
    std::uint64_t EvacuationsVersion = 0;
    bool operator==(const Inputs &) const = default;
  };

  void addTimeUntil(TimePoint Now);
  void collect(const RoutingConfig &Config, const Fleet &Current,
               const Evacuations &Evacuated);
  VmUse useOf(const TargetInfo &Vm, const EngineSpec &Engine,
              const Evacuations &Evacuated) const;
  static VmState stateInGroup(const Membership &Member, const Group &Joined,
                              const EngineSpec &Engine);

  /// Kept from one update to the next for Group::Seen: the registry alone does
  /// not tell whether a missing member is lost or has not joined yet.
  Groups Known;
  std::map<VmUse, unsigned> Counts;
  std::map<VmUse, VmDuration> Totals;
  std::optional<TimePoint> UpdatedAt;
  Inputs Last;
};

} // namespace waycove
