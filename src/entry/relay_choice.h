// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/relay_attempt.h"

namespace waycove {

/// A target, and what it was chosen by.
struct ChosenTarget {
  Serving To;
  ChoiceBasis Basis;
};

/// Decides where a request is sent, and whether once more: by the targets that
/// serve, by what the route allows, and within the second sends that all share.
/// Thread-safe.
class RelayChoice {
public:
  explicit RelayChoice(EntryBoard &Board) : Board(Board) {}

  /// Counts a request that was admitted, for demand and second sends.
  void noteRequest(const RelayRequest &Request);
  /// Whether the request may be sent, for what is known of requests that end
  /// their targets. Where it may once, that is used up.
  bool maySend(const RelayRequest &Request, TimePoint Now);
  /// Learns from how a send ended whether its target ended with it.
  void noteEnd(const RelayRequest &Request, const RelayAttempt &Try,
               AttemptOutcome End, TimePoint Now);
  /// The best target that the request was not sent to yet.
  std::optional<ChosenTarget> choose(const RelayRequest &Request,
                                     const RelayRun &Run, TimePoint Now);
  /// Whether one more send is allowed after one that did not end well.
  static bool mayGoOn(const RelayRequest &Request, const RelayRun &Run);
  /// Whether a send that shows no progress should be left for another target:
  /// one must be there that is not under suspicion itself.
  bool mayLeave(const RelayRequest &Request, const RelayRun &Run,
                TimePoint Now);
  /// Takes one second send; false where none is left in this window.
  bool spend(const ServiceId &Service, TimePoint Now);

private:
  /// Whether this request is one of those that leave a data centre whose
  /// targets are busier than others.
  bool mayGoAnywhere(const RelayRequest &Request,
                     const std::string &Model) const;
  bool maySpend(const ServiceId &Service, TimePoint Now);
  bool isTrialNode(ContentHash Content) const;

  EntryBoard &Board;
};

} // namespace waycove
