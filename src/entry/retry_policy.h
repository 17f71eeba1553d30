// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/target_selector.h"

namespace waycove {

class RetryPolicy;
struct RelayExchange;

/// A retry that is taken from the limit of a service. Given back on
/// destruction unless the request was sent.
class TakenRetry {
public:
  TakenRetry(RetryPolicy &From, ServiceId Service, TimePoint At)
      : From(&From), Service(std::move(Service)), At(At) {}
  ~TakenRetry() { this->release(); }
  TakenRetry(TakenRetry &&Other) noexcept { *this = std::move(Other); }
  TakenRetry &operator=(TakenRetry &&Other) noexcept;
  /// The request is sent.
  void use();

private:
  void release();

  RetryPolicy *From = nullptr;
  ServiceId Service;
  TimePoint At;
};

/// What a further attempt needs before an earlier one is given up.
struct Successor {
  SelectedTarget To;
  TakenRetry Retry;
};

/// Decides whether a request is sent to another target, by its route and the
/// retry limit that all requests of a service share. Thread-safe.
class RetryPolicy {
public:
  RetryPolicy(EntryBoard &Board, TargetSelector &Selector)
      : Board(Board), Selector(Selector) {}

  /// The attempts by which it is decided whether to make another. Those of a
  /// started response at targets that have ended do not count against its
  /// route's limit, up to as many again as that allows: targets that left as
  /// announced, and others unless all attempts ended so, which the request
  /// itself may have caused.
  AttemptCounts countsOf(const RelayExchange &Ex);
  /// Whether it may soon be known that a target which ended the response has
  /// ended itself.
  bool mayExcuseMore(const RelayExchange &Ex, TimePoint Now) const;
  /// Counts an admitted request for the retry limit.
  void recordRequest(const ServiceId &Service);
  /// Prepares another attempt for one without progress. Returns nothing if the
  /// route allows none, no target that is not suspected itself takes the
  /// request, or no retry is left.
  /// \p Counts are the attempts, with this one as one that may have run.
  std::optional<Successor> prepareSuccessor(const RelayRequest &Request,
                                            const RelayProgress &Progress,
                                            const AttemptCounts &Counts,
                                            TimePoint Now);
  /// Whether take() would return a retry.
  bool hasLeft(const ServiceId &Service, TimePoint Now);
  /// Takes one retry from the limit, if one is left in this window.
  std::optional<TakenRetry> take(const ServiceId &Service, TimePoint Now);

private:
  /// For so long it is waited for the registry to drop a target that ended
  /// without a word. Callers leave after a pause of some two seconds.
  static constexpr Millis EndNoticeTime{2000};

  friend class TakenRetry;
  void giveBack(const ServiceId &Service, TimePoint TakenAt);

  EntryBoard &Board;
  TargetSelector &Selector;
};

} // namespace waycove
