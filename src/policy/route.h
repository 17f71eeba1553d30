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

/// A VM's name as the load table knows it: a number, since every choice looks
/// several of them up.
using VmHash = Number<struct VmHashTag>;
VmHash hashVm(const VmId &Vm);

/// One place to which a request may go: a group by its head, or a service VM.
struct RouteTarget {
  Fence Group;
  VmId Head;
  /// Set by RouteView::makeRing.
  VmHash Key;
  VmAddress Address;
  std::vector<VmId> Members;
  /// The members' labels, each different set once; all must match. Empty
  /// where a member is not known, and then nothing is allowed.
  std::vector<Labels> MemberLabels;
  void addLabels(Labels Row);

  bool allows(const Selector &Wanted) const;
};

/// One of a target's places on the hash ring.
struct RingPoint {
  std::uint64_t Place = 0;
  std::uint32_t Target = 0;
};

/// The targets of one deployment or service, and the hash ring over them. Built
/// once per change of state and shared read-only by requests.
struct RouteView {
  std::vector<RouteTarget> Targets;
  /// Sorted by place; each target stands on it many times, so that all get
  /// nearly equal parts of the sessions.
  std::vector<RingPoint> Ring;
  /// What the deployment itself asks of VMs and workspaces.
  Selector Workspaces;
  bool Resolved = false;
  std::uint64_t SlotsPerReplica = 1;
  std::uint64_t VmsPerReplica = 1;
  /// Cache of one replica, in tokens; zero where nobody said.
  std::uint64_t KvTokensPerReplica = 0;

  /// To be called once all targets are in.
  void makeRing();
};

/// Counts what this node knows of each target's load, and which targets are
/// left out for a while. Reports from targets lag, so the node's own requests
/// in flight count at once and the last reported queue decays.
class LoadTable {
public:
  void onStart(VmHash Head);
  void onEnd(VmHash Head, bool Failed, TimePoint Now);
  /// The target said that \p Queue requests of others wait there.
  void onReport(VmHash Head, double Queue, TimePoint Now);
  /// Observed time between tokens; slow targets weigh more.
  double loadOf(VmHash Head, TimePoint Now) const;
  bool isEjected(VmHash Head, TimePoint Now) const;
  /// Ejects \p Head after repeated failures, unless too large a share of
  /// \p Known targets is out already. Returns true if it did.
  bool ejectIfFailing(VmHash Head, std::size_t Known, TimePoint Now);
  std::size_t ejectedCount(TimePoint Now) const;
  std::size_t size() const { return this->Rows.size(); }
  void forget(const std::function<bool(VmHash)> &IsKnown);

private:
  struct Row {
    unsigned InFlight = 0;
    double Reported = 0;
    TimePoint ReportedAt;
    unsigned Failures = 0;
    TimePoint EjectedUntil;
  };
  std::unordered_map<VmHash, Row> Rows;
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
