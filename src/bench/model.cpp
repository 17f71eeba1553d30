// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "bench/model.h"

#include <algorithm>

namespace waycove {

std::uint64_t ModelReplica::context() const {
  std::uint64_t Sum = 0;
  for (const ModelJob &Row : this->Running)
    Sum += Row.Prompt + Row.Made;
  return Sum;
}

void ModelReplica::admit() {
  while (
      !this->Queue.empty() && this->Running.size() < this->Shape.Slots &&
      (this->Running.empty() ||
       this->context() + this->Queue.front().Prompt <= this->Shape.KvTokens)) {
    ModelJob Job = this->Queue.front();
    this->Queue.erase(this->Queue.begin());
    // The prompt's work comes first.
    Job.Credit = -static_cast<double>(Job.Prompt) * this->Shape.MostPerRequest /
                 this->Shape.PromptPerSecond;
    this->Running.push_back(Job);
  }
}

void ModelReplica::preempt() {
  while (this->Running.size() > 1 && this->context() > this->Shape.KvTokens) {
    ModelJob Youngest = this->Running.back();
    this->Running.pop_back();
    // What it made has to be computed again, as a part of its prompt's work.
    Youngest.Credit = 0;
    ++this->Preempted;
    this->Queue.insert(this->Queue.begin(), Youngest);
  }
}

std::vector<ModelJob> ModelReplica::work(TimePoint Now, Millis Step) {
  this->admit();
  std::vector<ModelJob> Done;
  if (this->Running.empty())
    return Done;
  double Seconds = std::chrono::duration<double>(Step).count();
  double Each = std::min(this->Shape.MostPerRequest,
                         this->Shape.TokensPerSecond /
                             static_cast<double>(this->Running.size())) *
                Seconds;
  for (ModelJob &Row : this->Running) {
    Row.Credit += Each;
    while (Row.Credit >= 1 && Row.Made < Row.Tokens) {
      Row.Credit -= 1;
      ++Row.Made;
      if (!Row.FirstToken)
        Row.FirstToken = Now + Step;
    }
  }
  auto End = std::stable_partition(
      this->Running.begin(), this->Running.end(),
      [](const ModelJob &Row) { return Row.Made < Row.Tokens; });
  for (auto At = End; At != this->Running.end(); ++At) {
    At->Finished = Now + Step;
    Done.push_back(*At);
  }
  this->Running.erase(End, this->Running.end());
  this->preempt();
  return Done;
}

double quantile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  auto At =
      static_cast<std::size_t>(Share * static_cast<double>(Values.size() - 1));
  return Values[At];
}

} // namespace waycove
