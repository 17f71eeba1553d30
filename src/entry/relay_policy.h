// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/relay_attempt.h"

namespace waycove {

/// A target and the state of the registry by which it was selected.
struct SelectedTarget {
  ServingTarget To;
  RegistrySnapshot Snapshot;
  /// The request was counted against the rate of the target.
  bool IsCounted = false;
};

/// Decides to which target a request is sent and whether it is retried, by the
/// serving targets, the route and the retry limit that all requests share.
/// Thread-safe.
class RelayPolicy {
public:
  explicit RelayPolicy(EntryBoard &Board) : Board(Board) {}

  /// Counts an admitted request in the demand and for the retry limit.
  void recordRequest(const RelayRequest &Request);
  /// Whether the request may be sent, given which requests are blamed for
  /// crashes of targets. If a single trial is allowed, this call uses it up.
  bool maySend(const RelayRequest &Request, TimePoint Now);
  /// Records the outcome of an attempt, so that requests that crash targets
  /// are recognized.
  void recordOutcome(const RelayRequest &Request, const RelayAttempt &Attempt,
                     AttemptOutcome End, TimePoint Now);
  /// The best target that the request has not been sent to yet. If its rate is
  /// bounded, counts the request.
  std::optional<SelectedTarget> choose(const RelayRequest &Request,
                                       const RelayProgress &Progress,
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
  /// The other nodes that may carry the request to a target, in the order in
  /// which they are asked. None is in a region that the request must not leave
  /// for, or in a data centre that operators have evacuated.
  std::vector<NodeInfo> carriers(const RelayRequest &Request,
                                 TimePoint Now) const;
  /// Whether another attempt is allowed after a failed one.
  static bool mayRetry(const RelayRequest &Request,
                       const RelayProgress &Progress);
  /// Whether an attempt without progress should be abandoned for another
  /// target. That requires one that is not suspected itself.
  bool mayAbandon(const RelayRequest &Request, const RelayProgress &Progress,
                  TimePoint Now);
  /// Takes one retry from the limit. Returns false if none is left in this
  /// window.
  bool takeRetry(const ServiceId &Service, TimePoint Now);

private:
  /// As choose(), without counting the request.
  std::optional<SelectedTarget> select(const RelayRequest &Request,
                                       const RelayProgress &Progress,
                                       TimePoint Now);
  /// Adds to \p Avoid the targets that the request must not be sent to now:
  /// those in a region that it must not leave for, those that want none, and
  /// those whose rates leave none for this node.
  void avoidForbidden(const RelayRequest &Request,
                      const std::vector<ServingTarget> &Targets, TimePoint Now,
                      std::vector<VmId> &Avoid);
  /// Whether route and workspace allow the region of the data centre.
  bool mayGoTo(const RelayRequest &Request, const DataCentreId &Centre) const;
  bool mayRunAt(const RelayRequest &Request, const ServingTarget &To) const {
    return this->mayGoTo(Request, To.Target->DataCentre);
  }
  /// Whether the request could be sent to the target, whatever that states.
  bool isCandidate(const RelayRequest &Request, const RelayProgress &Progress,
                   const ServingTarget &To) const;
  StatedPause pauseOf(const ServingTarget &To, TimePoint Now) const;
  /// About how long until the target takes a request; zero if it does now or if
  /// it leaves.
  Millis waitFor(const RelayRequest &Request, const ServingTarget &To,
                 TimePoint Now);
  /// Those of \p Targets whose rates are bounded now.
  std::vector<BoundedTarget>
  boundedTargets(const RelayRequest &Request,
                 const std::vector<ServingTarget> &Targets,
                 TimePoint Now) const;
  /// Counts the request against the rate of the target, if that is bounded.
  /// Returns false if the rate leaves no request for this node.
  bool takeFromRate(const RelayRequest &Request, SelectedTarget &Selected,
                    TimePoint Now);
  /// Whether this node has not been in touch with the store, itself or through
  /// other nodes, for the drain bound. New nodes are then unknown here, too.
  /// \p ProvenAt is when the registry was last confirmed.
  bool isStale(TimePoint ProvenAt, TimePoint Now) const;
  RegionId regionOf(const DataCentreId &Centre) const;
  /// Whether this request may go to another data centre because the local
  /// targets are busier. It depends on the request's random bits.
  bool mayLeaveDataCentre(const RelayRequest &Request,
                          const std::string &Model) const;
  bool hasRetryLeft(const ServiceId &Service, TimePoint Now);
  bool isTrialNode(ContentHash Content) const;

  EntryBoard &Board;
};

} // namespace waycove
