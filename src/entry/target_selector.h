// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/target_bounds.h"

namespace waycove {

/// A target and the state of the registry by which it was selected.
struct SelectedTarget {
  ServingTarget To;
  RegistrySnapshot Snapshot;
  /// The request was counted against the rate of the target.
  bool IsCounted = false;
};

/// Selects the target to which a request is sent, by the serving targets, their
/// bounds and where the request may run. Thread-safe.
class TargetSelector {
public:
  TargetSelector(EntryBoard &Board, TargetBounds &Bounds)
      : Board(Board), Bounds(Bounds) {}

  /// The best target that the request has not been sent to yet. If its rate is
  /// bounded, counts the request.
  std::optional<SelectedTarget> choose(const RelayRequest &Request,
                                       const RelayProgress &Progress,
                                       TimePoint Now);
  /// As choose(), without counting the request.
  std::optional<SelectedTarget> select(const RelayRequest &Request,
                                       const RelayProgress &Progress,
                                       TimePoint Now);
  /// Whether the newest state of the registry still allows \p Selected, to
  /// which a connection is open: other targets may look better by now. Sets the
  /// state by which it was selected.
  bool renew(const RelayRequest &Request, SelectedTarget &Selected,
             TimePoint Now);
  /// Whether the request may still be sent to \p Selected: the target may have
  /// stated since it was selected that it leaves, rests or takes only some.
  /// Counts the request against a limit.
  bool confirm(const RelayRequest &Request, SelectedTarget &Selected,
               TimePoint Now);
  /// If there are targets that only take no request now because they rest or
  /// because of their rates: about how long until one of them does.
  std::optional<Millis> nextOpening(const RelayRequest &Request,
                                    const RelayProgress &Progress,
                                    TimePoint Now);

  /// Whether a target that ended a response is to be avoided by its request: it
  /// may have ended, and has shown no sign of life since.
  bool mayHaveEnded(const LostTarget &Lost, TimePoint Now) const;
  /// Whether the connections of this node to a target that ended a response
  /// have all ended.
  bool wasCutOff(const LostTarget &Lost, TimePoint Now) const;
  /// Whether the registry lists this incarnation no longer.
  bool hasEnded(const VmIncarnation &Target) const;
  /// Whether the target leaves, by the registry or its own word.
  bool isLeaving(const VmIncarnation &Target) const;

private:
  /// Targets that end are removed from the registry about as soon.
  static constexpr Millis RemovalTime{3000};

  /// Counts the request against the rate of the target, if that is bounded.
  /// Returns false if the rate leaves no request for this node.
  bool takeFromRate(const RelayRequest &Request, SelectedTarget &Selected,
                    TimePoint Now);
  /// Adds to \p Avoid the targets that the request must not be sent to now:
  /// those in a region that it must not leave for, those that want none, and
  /// those whose rates leave none for this node.
  void avoidForbidden(const RelayRequest &Request,
                      const std::vector<ServingTarget> &Targets, TimePoint Now,
                      std::vector<VmId> &Avoid);
  /// Whether route and workspace allow the region of the target.
  bool isAllowed(const RelayRequest &Request, const ServingTarget &To) const;
  /// Whether the request could be sent to the target, whatever that states.
  bool isCandidate(const RelayRequest &Request, const RelayProgress &Progress,
                   const ServingTarget &To) const;
  /// Whether this request may go to another data centre because the local
  /// targets are busier. It depends on the request's random bits.
  bool mayLeaveDataCentre(const RelayRequest &Request,
                          const std::string &Model) const;

  EntryBoard &Board;
  TargetBounds &Bounds;
};

} // namespace waycove
