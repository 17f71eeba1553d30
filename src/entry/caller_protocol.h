// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <concepts>
#include <optional>
#include <string>

namespace waycove {

/// What a caller says in its request's head, in the project's words.
struct CallerRequestInfo {
  RequestId Id;
  /// How long the caller will wait.
  std::optional<Millis> Timeout;
  std::string ApiKey;
  /// Empty where the request is for no model.
  std::string Model;
  std::uint64_t PromptTokens = 0;
  /// The most that may come out.
  std::uint64_t MaxOutputTokens = 0;
  /// The last event of the stream that the caller has already.
  std::optional<std::uint64_t> LastEvent;
};

/// What this node tells a target with one send of a request.
struct AttemptParams {
  /// The target that is meant; another at its address must not run it.
  VmId Target;
  WorkspaceId Workspace;
  /// How long the target may work on it.
  Millis Remaining{0};
  /// 0 goes first, 9 last.
  unsigned Urgency = 0;
  std::optional<std::uint64_t> LastEvent;
};

/// What a target says in its answer's head.
struct TargetResponseInfo {
  /// The request that it answers.
  RequestId Id;
  /// The target says that it did not and will not run the request.
  bool NotRun = false;
  /// It is not what the sender takes it for: another process, or no head of a
  /// group.
  bool WrongTarget = false;
  /// The answer bears the target's signature.
  bool Signed = false;
  /// How long the target keeps an idle connection.
  std::optional<Millis> KeepAlive;
};

/// How callers and targets spell all this on their connections.
template <typename P>
concept CallerProtocol = requires(const Poco::Net::HTTPRequest &Request,
                                  const Poco::Net::HTTPResponse &Response,
                                  const AttemptParams &Send,
                                  Poco::Net::HTTPRequest &Out,
                                  Poco::Net::HTTPResponse &Back,
                                  const RequestId &Id, Millis Wait) {
  { P::readRequestInfo(Request) } -> std::same_as<CallerRequestInfo>;
  { P::readResponseInfo(Response) } -> std::same_as<TargetResponseInfo>;
  {
    P::makeTargetRequest(Request, Send)
    } -> std::same_as<Poco::Net::HTTPRequest>;
  P::setResponseHeaders(Back, Id, Wait);
};

} // namespace waycove
