// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/place_gate.h"
#include "entry/relay_log.h"

namespace waycove {

/// Writes the responses of requests that end without success, and logs their
/// ends. Thread-safe.
template <CallerProtocol Protocol> class FailureResponder {
public:
  explicit FailureResponder(RelayLog &Log) : Log(Log) {}

  /// Retry-After of a node that stops or has no room: another node accepts the
  /// request at once.
  static constexpr Millis OtherNodeRetryAfter{20};

  /// Ends a started response before it is whole.
  void cut(RelayExchange Ex, CutCause Cause, const std::string &Reason) {
    Ex.Response.abort();
    this->Log.requestCut(Ex, Cause, Reason);
  }

  /// Ends a request without a response for which no further attempt is allowed
  /// or possible. \p RetryAfter is told to the caller, or else an estimate.
  void fail(RelayExchange Ex, const std::string &Reason, bool DeadlinePassed,
            std::optional<Millis> RetryAfter = std::nullopt) {
    if (Ex.Progress.Failure) {
      Ex.deliver(*Ex.Progress.Failure, Ex.Progress.FailureBody->Bytes);
      return this->Log.requestFailed(Ex, Reason);
    }
    this->refuse(Ex,
                 makeError(errorKindFor(Ex.Progress.counts(), DeadlinePassed),
                           Reason,
                           RetryAfter.value_or(suggestRetryAfter(Ex.Request))));
  }

  /// Ends a request that is blamed for crashes of targets.
  void failCrashing(RelayExchange Ex) {
    const std::string Reason = "targets ended under it";
    if (Ex.Response.hasStarted())
      return this->cut(Ex, CutCause::CrashesTargets, Reason);
    if (Ex.Progress.MayHaveRun > 0)
      return this->fail(Ex, Reason, false);
    this->refuse(
        Ex, makeError(ErrorKind::CrashesTargets, Reason, BlamedRetryAfter));
  }

  /// Ends a request that got no place in its pool.
  void endWithoutPlace(RelayExchange Ex, const PlaceResult &Entered) {
    if (Entered.Outcome == PlaceOutcome::CallerGone)
      return this->cut(Ex, CutCause::CallerLeft,
                       "the caller left while it was queued");
    if (Entered.Outcome == PlaceOutcome::Blamed)
      return this->failCrashing(Ex);
    Ex.Progress.Refusal = Entered.Refusal;
    bool IsStopping = Entered.Outcome == PlaceOutcome::Stopping;
    ErrorKind Kind = IsStopping ? ErrorKind::Stopping : ErrorKind::Overloaded;
    const std::string Reason =
        IsStopping ? "stopping" : "the targets are overloaded";
    Millis RetryAfter = IsStopping ? OtherNodeRetryAfter
                                   : retryAfter(Ex, Entered.Refusal.RetryAfter);
    // After an attempt, only its outcome tells whether the request has run.
    if (Ex.Progress.SentCount > 0)
      return this->fail(Ex, Reason, false, RetryAfter);
    this->refuse(Ex, makeError(Kind, Reason, RetryAfter));
  }

  /// Ends a request with \p Error.
  void refuse(RelayExchange Ex, const absl::Status &Error) {
    const ErrorResponse &Template = responseFor(kindOf(Error));
    Poco::Net::HTTPResponse Out(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Template.HttpStatus));
    Out.setContentType("application/json");
    Protocol::setResponseHeaders(
        Out, Ex.Request.Info.Id,
        Template.RequestRan == Ran::No ? retryAfterOf(Error) : Millis(0));
    Ex.Response.sendWhole(Out, errorJson(Error),
                          SystemClock{}.now() + RelayExchange::WriteGrace);
    this->Log.requestRefused(Ex, Error);
  }

private:
  /// Retry-After of a request that is refused because targets crash under it.
  static constexpr Millis BlamedRetryAfter{5000};

  /// Bounds a Retry-After by the time that the caller has left.
  static Millis retryAfter(const RelayExchange &Ex, Millis Suggested) {
    return std::clamp(Suggested, Millis(0),
                      maxRetryAfter(Ex.Request.Deadline, SystemClock{}.now()));
  }

  RelayLog &Log;
};

} // namespace waycove
