// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "bench/model.h"

#include <algorithm>

namespace waycove {

std::uint64_t ModelReplica::contextTokens() const {
  std::uint64_t Sum = 0;
  for (const ModelJob &Job : this->Running)
    Sum += Job.PromptTokens + Job.Generated;
  return Sum;
}

void ModelReplica::admit() {
  while (!this->Queue.empty() && this->Running.size() < this->Params.Slots &&
         (this->Running.empty() ||
          this->contextTokens() + this->Queue.front().PromptTokens <=
              this->Params.KvTokens)) {
    ModelJob Job = this->Queue.front();
    this->Queue.erase(this->Queue.begin());
    // Prompt processing delays the first token.
    Job.TokenCredit = -static_cast<double>(Job.PromptTokens) *
                      this->Params.MaxRequestRate /
                      this->Params.PromptTokensPerSecond;
    this->Running.push_back(Job);
  }
}

void ModelReplica::preempt() {
  while (this->Running.size() > 1 &&
         this->contextTokens() > this->Params.KvTokens) {
    ModelJob Youngest = this->Running.back();
    this->Running.pop_back();
    // admit() charges the prompt processing again.
    Youngest.TokenCredit = 0;
    ++this->Preemptions;
    this->Queue.insert(this->Queue.begin(), Youngest);
  }
}

std::vector<ModelJob> ModelReplica::advance(TimePoint Now, Millis Step) {
  this->admit();
  std::vector<ModelJob> Done;
  if (this->Running.empty())
    return Done;
  double Seconds = std::chrono::duration<double>(Step).count();
  double TokensPerJob =
      std::min(this->Params.MaxRequestRate,
               this->Params.TokensPerSecond /
                   static_cast<double>(this->Running.size())) *
      Seconds;
  for (ModelJob &Job : this->Running) {
    Job.TokenCredit += TokensPerJob;
    while (Job.TokenCredit >= 1 && Job.Generated < Job.OutputTokens) {
      Job.TokenCredit -= 1;
      ++Job.Generated;
      if (!Job.FirstToken)
        Job.FirstToken = Now + Step;
    }
  }
  auto End = std::stable_partition(
      this->Running.begin(), this->Running.end(),
      [](const ModelJob &Job) { return Job.Generated < Job.OutputTokens; });
  for (auto At = End; At != this->Running.end(); ++At) {
    At->Finished = Now + Step;
    Done.push_back(*At);
  }
  this->Running.erase(End, this->Running.end());
  this->preempt();
  return Done;
}

double quantile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  auto At = static_cast<std::size_t>(Fraction *
                                     static_cast<double>(Values.size() - 1));
  return Values[At];
}

} // namespace waycove
