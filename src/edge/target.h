// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/engine_control.h"
#include "net/http.h"
#include "policy/retry.h"
#include "policy/route.h"

#include <concepts>
#include <functional>

namespace waycove {

/// Parameters of one attempt at a model engine.
struct EngineCall {
  VmAddress Address;
  RequestId Request;
  Fence Group;
  std::string Prompt;
  std::uint64_t MaxTokens = 0;
  /// Number of tokens that the caller already has; Prefix is their text.
  std::uint64_t ResumeFrom = 0;
  std::string Prefix;
  unsigned Priority = 0;
  /// Max interval between tokens.
  Millis Stall{2000};
  TimePoint Deadline;
};

/// One token, with the request and group that the engine reports for it.
struct EngineToken {
  RequestId Request;
  std::uint64_t Index = 0;
  std::string Text;
  Fence Group;
  /// Number of the group's VMs that took part.
  std::uint64_t Members = 0;
};

/// Final line of an engine's response, or the reason for its failure.
struct EngineDone {
  std::uint64_t Tokens = 0;
  double Queue = 0;
  bool Leaving = false;
  std::string Reason;
};

/// The receiver's decision on a token. Ignore skips a duplicate; Reject ends
/// the attempt as broken.
enum class TokenVerdict { Accept, Ignore, CallerGone, Reject };

using TokenHandler = std::function<TokenVerdict(const EngineToken &)>;

/// Model engines as used by ModelServer.
template <typename T>
concept EngineService = requires(T &E, const EngineCall &Call,
                                 const TokenHandler &OnToken, EngineDone &Done,
                                 const VmAddress &At, const RequestId &Id) {
  { E.generate(Call, OnToken, Done) } -> std::same_as<AttemptOutcome>;
  E.cancel(At, Id);
};

/// Accesses engines over HTTP:
///   POST /v1/generate {"request", "group", "prompt", "max_tokens",
///        "resume_from", "prefix", "priority"}; response: a line of JSON per
///        token {"request", "index", "text", "group", "members"}, and a last
///        line
///        {"request", "done": true, "tokens", "queue"}
///   POST /v1/cancel {"request"}
/// X-Waycove-Not-Run: yes in an error response means that the request did not
/// run.
class HttpEngine {
public:
  explicit HttpEngine(const Settings &Config) : Config(Config) {}
  AttemptOutcome generate(const EngineCall &Call, const TokenHandler &OnToken,
                          EngineDone &Done);
  void cancel(const VmAddress &At, const RequestId &Request);

private:
  const Settings &Config;
};

/// Sends orders and reads member reports over HTTP: POST /v1/order,
/// GET /v1/state. Keeps one connection per VM. Thread-safe.
class HttpEngineControl {
public:
  HttpEngineControl(const Settings &Config, Metrics &Counters)
      : Config(Config), Counters(Counters) {}
  absl::Status order(const EngineOrder &Order);
  absl::StatusOr<MemberReport> report(const VmAddress &At);

private:
  std::shared_ptr<HttpClient> clientFor(const VmAddress &At);

  const Settings &Config;
  Metrics &Counters;
  std::mutex Mutex;
  std::unordered_map<std::string, std::shared_ptr<HttpClient>> Clients;
};

/// Parameters of one attempt at a plain service.
struct PlainCall {
  VmAddress Address;
  RequestId Request;
  HttpCall Http;
  Millis Timeout{30000};
};

/// Plain services as used by PlainServer.
template <typename T>
concept PlainService = requires(T &S, const PlainCall &Call, HttpReply &Reply) {
  { S.call(Call, Reply) } -> std::same_as<AttemptOutcome>;
};

/// Calls plain services over HTTP. Each call uses a new connection, so that
/// responses cannot be mixed up.
class HttpPlainService {
public:
  HttpPlainService(const Settings &Config, Metrics &Counters)
      : Config(Config), Counters(Counters) {}
  AttemptOutcome call(const PlainCall &Call, HttpReply &Reply);

private:
  const Settings &Config;
  Metrics &Counters;
};

static_assert(EngineService<HttpEngine>);
static_assert(EngineControl<HttpEngineControl>);
static_assert(PlainService<HttpPlainService>);

} // namespace waycove
