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

/// A VM as the platform's list gives it, with inherited labels.
struct VmAddress {
  std::string Host;
  std::uint16_t Port = 0;
  std::string text() const {
    return this->Host + ":" + std::to_string(this->Port);
  }
};

/// One place to which a request may go: a group by its head, or a service VM.
struct RouteTarget {
  Fence Group;
  VmId Head;
  VmAddress Address;
  /// Place on the hash ring.
  std::uint64_t Place = 0;
  std::vector<VmId> Members;
  /// Labels of each member; all must match.
  std::vector<Labels> MemberLabels;

  bool allows(const Selector &Wanted) const;
};

/// The targets of one deployment or service, sorted by ring place. Built once
/// per change of state and shared read-only by requests.
struct RouteView {
  std::vector<RouteTarget> Targets;
  /// What the deployment itself asks of VMs and workspaces.
  Selector Workspaces;
  bool Resolved = false;
  std::uint64_t SlotsPerReplica = 1;
  std::uint64_t VmsPerReplica = 1;

  void sortByPlace();
};

/// Counts what this node knows of each target's load, and which targets are
/// left out for a while. Reports from targets lag, so the node's own requests
/// in flight count at once and the last reported queue decays.
class LoadTable {
public:
  void onStart(const VmId &Head);
  void onEnd(const VmId &Head, bool Failed, TimePoint Now);
  /// The target said that \p Queue requests of others wait there.
  void onReport(const VmId &Head, double Queue, TimePoint Now);
  /// Observed time between tokens; slow targets weigh more.
  double loadOf(const VmId &Head, TimePoint Now) const;
  bool isEjected(const VmId &Head, TimePoint Now) const;
  /// Ejects \p Head after repeated failures, unless too large a share of
  /// \p Known targets is out already. Returns true if it did.
  bool ejectIfFailing(const VmId &Head, std::size_t Known, TimePoint Now);
  std::size_t ejectedCount(TimePoint Now) const;
  std::size_t size() const { return this->Rows.size(); }
  void forget(const std::function<bool(const VmId &)> &IsKnown);

private:
  struct Row {
    unsigned InFlight = 0;
    double Reported = 0;
    TimePoint ReportedAt;
    unsigned Failures = 0;
    TimePoint EjectedUntil;
  };
  std::unordered_map<VmId, Row> Rows;
};

/// What a choice needs to know about targets from outside the view.
struct RouteQuery {
  const Selector &Wanted;
  /// Hash of the session or prompt prefix; zero for none.
  std::uint64_t Affinity = 0;
  /// Random bits for the two choices.
  std::uint64_t Random = 0;
  /// Targets that failed this request already.
  std::vector<VmId> Avoid;
  TimePoint Now;
};

/// Picks a target: the ring successors of the affinity hash if their load is
/// near that of two random others, else the less loaded of those two. All
/// nodes agree on the successors without exchanging a word, so a session finds
/// its cached prefix through any node. Cost grows with the logarithm of the
/// number of targets, unless labels exclude most. \p Serves says whether a
/// target may be used right now. Null where there is none.
const RouteTarget *
pickTarget(const RouteView &View, const LoadTable &Load,
           const RouteQuery &Query,
           const std::function<bool(const RouteTarget &)> &Serves);

/// Hash of what a follow-up request shares with its predecessor.
std::uint64_t affinityOf(const std::string &Workspace,
                         const std::string &Session, const std::string &Prompt);

} // namespace waycove
