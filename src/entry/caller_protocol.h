// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"
#include "policy/target_statement.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace waycove {

/// What the head of a caller's request states.
struct CallerRequestInfo {
  RequestId Id;
  /// How long the caller waits.
  std::optional<Millis> Timeout;
  std::string ApiKey;
  /// Empty if the request needs no model.
  std::string Model;
  std::uint64_t PromptTokens = 0;
  /// Upper bound on generated tokens.
  std::uint64_t MaxOutputTokens = 0;
  /// IDs of the parts of the prompt that other requests may share, in order and
  /// without repeats: all but the last part, and at most MaxSharedParts.
  std::vector<std::string> SharedParts;
  /// The last event of the stream that the caller already has.
  std::optional<std::uint64_t> LastEvent;

  /// Prompts usually have a few parts. The bound limits what a single request
  /// adds to the evidence of a crash.
  static constexpr std::size_t MaxSharedParts = 32;
};

/// What this node tells a target with one attempt of a request.
struct AttemptParams {
  /// The intended target. Another one at its address must not run the request.
  VmId Target;
  WorkspaceId Workspace;
  /// Time until the deadline.
  Millis Remaining{0};
  /// 0 is the most urgent, 9 the least.
  unsigned Urgency = 0;
  std::optional<std::uint64_t> LastEvent;
};

/// What the head of a target's response states.
struct TargetResponseInfo {
  /// The request that it responds to.
  RequestId Id;
  /// The target says that it did not and will not run the request.
  bool NotRun = false;
  /// It is not the intended target: another process, or not the head of a
  /// group.
  bool WrongTarget = false;
  /// The response carries the target's signature.
  bool Signed = false;
  /// How long the target keeps an idle connection open.
  std::optional<Millis> KeepAlive;
  /// Unset if another process than the target may have responded.
  std::optional<TargetStatement> Statement;
};

/// The HTTP conventions of a platform's callers and targets.
template <typename P>
concept CallerProtocol = requires(const Poco::Net::HTTPRequest &Request,
                                  const Poco::Net::HTTPResponse &Response,
                                  const AttemptParams &Params,
                                  Poco::Net::HTTPRequest &TargetRequest,
                                  Poco::Net::HTTPResponse &ResponseToCaller,
                                  const RequestId &Id, Millis RetryAfter) {
  { P::readRequestInfo(Request) } -> std::same_as<CallerRequestInfo>;
  { P::readResponseInfo(Response) } -> std::same_as<TargetResponseInfo>;
  {
    P::makeTargetRequest(Request, Params)
    } -> std::same_as<Poco::Net::HTTPRequest>;
  P::setResponseHeaders(ResponseToCaller, Id, RetryAfter);
};

} // namespace waycove
