// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <optional>
#include <vector>

namespace waycove {

/// A request to a ModelReplica, in virtual time.
struct ModelJob {
  std::uint64_t Id = 0;
  std::size_t Workspace = 0;
  std::uint64_t Session = 0;
  TimePoint Arrived;
  TimePoint Deadline;
  std::uint64_t PromptTokens = 0;
  std::uint64_t OutputTokens = 0;
  // ---- Progress. ----
  std::uint64_t Generated = 0;
  /// Fractional tokens not yet generated; negative during prompt processing.
  double TokenCredit = 0;
  std::optional<TimePoint> FirstToken;
  std::optional<TimePoint> Finished;
};

/// Parameters of a replica: it batches up to Slots requests, divides its token
/// rate evenly among them, and spends time on processing prompts. If their
/// contexts exceed the KV cache, the request admitted last is preempted.
struct ReplicaParams {
  std::size_t Slots = 8;
  double TokensPerSecond = 400;
  /// Maximum token rate of a single request.
  double MaxRequestRate = 80;
  double PromptTokensPerSecond = 8000;
  std::uint64_t KvTokens = UINT64_MAX;
};

/// A simplified model replica in virtual time.
class ModelReplica {
public:
  explicit ModelReplica(ReplicaParams Params) : Params(Params) {}
  void push(const ModelJob &Job) { this->Queue.push_back(Job); }
  /// Advances the replica by \p Step; returns the finished jobs.
  std::vector<ModelJob> advance(TimePoint Now, Millis Step);
  std::size_t load() const { return this->Queue.size() + this->Running.size(); }
  std::size_t running() const { return this->Running.size(); }
  /// Returns the number of context tokens of all running requests.
  std::uint64_t contextTokens() const;
  std::uint64_t preemptions() const { return this->Preemptions; }

private:
  void admit();
  void preempt();

  ReplicaParams Params;
  std::vector<ModelJob> Queue;
  std::vector<ModelJob> Running;
  std::uint64_t Preemptions = 0;
};

/// Returns the \p Fraction quantile of \p Values; zero if there are none.
double quantile(std::vector<double> Values, double Fraction);

} // namespace waycove
