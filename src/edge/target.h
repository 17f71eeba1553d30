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

/// One attempt at a model engine.
struct EngineCall {
  VmAddress Address;
  RequestId Request;
  Fence Group;
  std::string Prompt;
  std::uint64_t MaxTokens = 0;
  /// Tokens that the caller has already, and their text.
  std::uint64_t ResumeFrom = 0;
  std::string Prefix;
  unsigned Priority = 0;
  /// Longest time without a token.
  Millis Stall{2000};
  TimePoint Deadline;
};

/// One token, with what the engine says of who made it.
struct EngineToken {
  RequestId Request;
  std::uint64_t Index = 0;
  std::string Text;
  Fence Group;
  /// VMs of the group that took part.
  std::uint64_t Members = 0;
};

/// The end of an engine's answer.
struct EngineDone {
  std::uint64_t Tokens = 0;
  double Queue = 0;
  bool Leaving = false;
  std::string Reason;
};

/// What a token's receiver wants next.
enum class TokenVerdict { Go, Ignore, CallerGone, Distrust };

using TokenHandler = std::function<TokenVerdict(const EngineToken &)>;

/// A model engine, as the router uses it.
template <typename T>
concept EngineService = requires(T &E, const EngineCall &Call,
                                 const TokenHandler &OnToken, EngineDone &Done,
                                 const VmAddress &At, const RequestId &Id) {
  { E.generate(Call, OnToken, Done) } -> std::same_as<AttemptOutcome>;
  E.cancel(At, Id);
};

/// Engines over HTTP:
///   POST /v1/generate {"request", "group", "prompt", "max_tokens",
///        "resume_from", "prefix", "priority"}; answer: a line of JSON a token
///        {"request", "index", "text", "group", "members"}, and a last one
///        {"request", "done": true, "tokens", "queue"}
///   POST /v1/cancel {"request"}
/// 503 with X-Waycove-Not-Run: yes says that the request was not taken.
class HttpEngine {
public:
  explicit HttpEngine(const Settings &Config) : Config(Config) {}
  AttemptOutcome generate(const EngineCall &Call, const TokenHandler &OnToken,
                          EngineDone &Done);
  void cancel(const VmAddress &At, const RequestId &Request);

private:
  const Settings &Config;
};

/// Orders and reports over HTTP: POST /v1/order, GET /v1/state. Keeps one
/// connection a VM. Thread-safe.
class HttpEngineControl {
public:
  HttpEngineControl(const Settings &Config, Metrics &Counters)
      : Config(Config), Counters(Counters) {}
  absl::Status order(const EngineOrder &Order);
  absl::StatusOr<MemberReport> report(const VmAddress &At);

private:
  std::shared_ptr<HttpClient> callerFor(const VmAddress &At);

  const Settings &Config;
  Metrics &Counters;
  std::mutex Mutex;
  std::unordered_map<std::string, std::shared_ptr<HttpClient>> Callers;
};

/// One call to a plain service.
struct PlainCall {
  VmAddress Address;
  RequestId Request;
  HttpCall Http;
  Millis Timeout{30000};
};

template <typename T>
concept PlainService = requires(T &S, const PlainCall &Call, HttpReply &Reply) {
  { S.call(Call, Reply) } -> std::same_as<AttemptOutcome>;
};

/// Plain services over HTTP, one new connection a call, so that no answer can
/// be taken for another call's.
class HttpPlain {
public:
  HttpPlain(const Settings &Config, Metrics &Counters)
      : Config(Config), Counters(Counters) {}
  AttemptOutcome call(const PlainCall &Call, HttpReply &Reply);

private:
  const Settings &Config;
  Metrics &Counters;
};

static_assert(EngineService<HttpEngine>);
static_assert(EngineControl<HttpEngineControl>);
static_assert(PlainService<HttpPlain>);

} // namespace waycove
