// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"
#include "policy/labels.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace waycove {

/// Address of a VM.
struct VmAddress {
  std::string Host;
  std::uint16_t Port = 0;
  std::string text() const {
    return this->Host + ":" + std::to_string(this->Port);
  }
};

/// Hash of a VM's name; a number, for fast lookups in the load table.
using VmHash = Number<struct VmHashTag>;
VmHash hashVm(const VmId &Vm);

/// A target of requests: the head of a group, or a VM of a service.
struct RouteTarget {
  Fence Group;
  VmId Head;
  /// Set by RouteView::makeRing.
  VmHash Key;
  VmAddress Address;
  std::vector<VmId> Members;
  /// The distinct label sets of the members; all must match. Empty if a member
  /// is unknown, and then nothing is allowed.
  std::vector<Labels> MemberLabels;
  void addLabels(Labels Added);

  bool allows(const Selector &Wanted) const;
};

/// One position of a target on the hash ring.
struct RingPoint {
  std::uint64_t Place = 0;
  std::uint32_t Target = 0;
};

/// The targets of one deployment or service, with their hash ring. Built once
/// per change of state and shared read-only by requests.
struct RouteView {
  std::vector<RouteTarget> Targets;
  /// Sorted by place; each target has many positions, so that sessions are
  /// distributed almost evenly.
  std::vector<RingPoint> Ring;
  /// Selector of the deployment for workspaces.
  Selector Workspaces;
  /// All selectors that the object names are defined.
  bool Resolved = false;
  std::uint64_t SlotsPerReplica = 1;
  std::uint64_t VmsPerReplica = 1;
  /// KV cache of one replica, in tokens; zero if not specified.
  std::uint64_t KvTokensPerReplica = 0;

  /// Call after all targets were added.
  void makeRing();
};

/// Tracks the load of each target and which targets are ejected. Reports of
/// targets lag, so requests of this node in flight count immediately and the
/// last reported queue decays.
class LoadTable {
public:
  void onStart(VmHash Head);
  void onEnd(VmHash Head, bool Failed, TimePoint Now);
  /// The target reported that \p Queue requests wait there.
  void onReport(VmHash Head, double Queue, TimePoint Now);
  /// Returns the requests in flight plus the decayed reported queue.
  double loadOf(VmHash Head, TimePoint Now) const;
  bool isEjected(VmHash Head, TimePoint Now) const;
  /// Ejects \p Head after repeated failures, unless too many of \p Known
  /// targets are already ejected. Returns true if it did.
  bool ejectIfFailing(VmHash Head, std::size_t Known, TimePoint Now);
  std::size_t ejectedCount(TimePoint Now) const;
  std::size_t size() const { return this->Entries.size(); }
  void forget(const std::function<bool(VmHash)> &IsKnown);

private:
  struct Entry {
    unsigned InFlight = 0;
    double Reported = 0;
    TimePoint ReportedAt;
    unsigned Failures = 0;
    TimePoint EjectedUntil;
  };
  std::unordered_map<VmHash, Entry> Entries;
};

/// Parameters of one choice of a target.
struct RouteQuery {
  const Selector &Wanted;
  /// Hash of the session or prompt prefix; zero for none.
  std::uint64_t Affinity = 0;
  /// Random bits for the random choices.
  std::uint64_t Random = 0;
  /// Targets that already failed for this request.
  std::vector<VmId> Avoid;
  TimePoint Now;
};

/// Chooses a target: a ring successor of the affinity hash if its load is close
/// to that of the best of some random targets, otherwise that one. All nodes
/// agree on the successors without communication, so a session finds its cached
/// prefix through any node. The cost is logarithmic in the number of targets
/// unless labels exclude most of them. \p Serves tells whether a target is
/// usable now. Returns null if there is none.
const RouteTarget *
pickTarget(const RouteView &View, const LoadTable &Load,
           const RouteQuery &Query,
           const std::function<bool(const RouteTarget &)> &Serves);

/// Returns the hash of what a follow-up request shares with its predecessor:
/// its session, or else the start of its prompt.
std::uint64_t affinityOf(const std::string &Workspace,
                         const std::string &Session, const std::string &Prompt);

} // namespace waycove
