// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/target_selector.h"

namespace waycove {

/// Decides whether a request is sent to another target, by its route and the
/// retry limit that all requests of a service share. Thread-safe.
class RetryPolicy {
public:
  RetryPolicy(EntryBoard &Board, TargetSelector &Selector)
      : Board(Board), Selector(Selector) {}

  /// Counts an admitted request for the retry limit.
  void recordRequest(const ServiceId &Service);
  /// Whether an attempt without progress should be abandoned for another
  /// target. That requires one that is not suspected itself.
  bool mayAbandon(const RelayRequest &Request, const RelayProgress &Progress,
                  TimePoint Now);
  /// Takes one retry from the limit. Returns false if none is left in this
  /// window.
  bool takeRetry(const ServiceId &Service, TimePoint Now);

private:
  bool hasRetryLeft(const ServiceId &Service, TimePoint Now);

  EntryBoard &Board;
  TargetSelector &Selector;
};

} // namespace waycove
