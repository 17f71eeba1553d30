// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <optional>
#include <vector>

namespace waycove {

/// One request in virtual time.
struct ModelJob {
  std::uint64_t Id = 0;
  std::size_t Workspace = 0;
  std::uint64_t Session = 0;
  TimePoint Arrived;
  TimePoint Deadline;
  std::uint64_t Prompt = 0;
  std::uint64_t Tokens = 0;
  // ---- As it goes. ----
  std::uint64_t Made = 0;
  double Credit = 0;
  std::optional<TimePoint> FirstToken;
  std::optional<TimePoint> Finished;
};

/// How a replica of the model works: it batches up to Slots requests, shares
/// its rate of tokens among them, and spends time on prompts that it has not
/// cached. A batch whose contexts outgrow the cache loses its youngest member,
/// which starts again.
struct ReplicaShape {
  std::size_t Slots = 8;
  double TokensPerSecond = 400;
  double MostPerRequest = 80;
  double PromptPerSecond = 8000;
  std::uint64_t KvTokens = UINT64_MAX;
};

/// A replica in virtual time; a small stand-in for what waycove serves, not a
/// simulator of it.
class ModelReplica {
public:
  explicit ModelReplica(ReplicaShape Shape) : Shape(Shape) {}
  void push(const ModelJob &Job) { this->Queue.push_back(Job); }
  /// Works for \p Step; returns the jobs that finished.
  std::vector<ModelJob> work(TimePoint Now, Millis Step);
  std::size_t load() const { return this->Queue.size() + this->Running.size(); }
  std::size_t running() const { return this->Running.size(); }
  /// Tokens of context held by running requests.
  std::uint64_t context() const;
  std::uint64_t preemptions() const { return this->Preempted; }

private:
  void admit();
  void preempt();

  ReplicaShape Shape;
  std::vector<ModelJob> Queue;
  std::vector<ModelJob> Running;
  std::uint64_t Preempted = 0;
};

/// The value below which \p Share of \p Values lie; zero for none.
double quantile(std::vector<double> Values, double Share);

} // namespace waycove
