// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/relay_attempt.h"

namespace waycove {

/// A target, and what it was chosen by.
struct ChosenTarget {
  ServingTarget To;
  RegistrySnapshot Snapshot;
};

/// Decides where a request is sent, and whether once more: by the targets that
/// serve, by what the route allows, and within the second sends that all share.
/// Thread-safe.
class RelayPolicy {
public:
  explicit RelayPolicy(EntryBoard &Board) : Board(Board) {}

  /// Counts a request that was admitted, for demand and second sends.
  void recordRequest(const RelayRequest &Request);
  /// Whether the request may be sent, for what is known of requests that end
  /// their targets. Where it may once, that is used up.
  bool maySend(const RelayRequest &Request, TimePoint Now);
  /// Learns from how a send ended whether its target ended with it.
  void recordOutcome(const RelayRequest &Request, const RelayAttempt &Attempt,
                     AttemptOutcome End, TimePoint Now);
  /// The best target that the request was not sent to yet.
  std::optional<ChosenTarget> choose(const RelayRequest &Request,
                                     const RelayProgress &Progress,
                                     TimePoint Now);
  /// Whether one more send is allowed after one that did not end well.
  static bool mayRetry(const RelayRequest &Request,
                       const RelayProgress &Progress);
  /// Whether a send that shows no progress should be left for another target:
  /// one must be there that is not under suspicion itself.
  bool mayAbandon(const RelayRequest &Request, const RelayProgress &Progress,
                  TimePoint Now);
  /// Takes one second send; false where none is left in this window.
  bool takeRetry(const ServiceId &Service, TimePoint Now);

private:
  /// Whether this request is one of those that leave a data centre whose
  /// targets are busier than others.
  bool mayLeaveDataCentre(const RelayRequest &Request,
                          const std::string &Model) const;
  bool hasRetryLeft(const ServiceId &Service, TimePoint Now);
  bool isTrialNode(ContentHash Content) const;

  EntryBoard &Board;
};

} // namespace waycove
