// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <functional>
#include <limits>
#include <list>

namespace waycove::test {

/// A group in virtual time. It reads prompts one after the other and generates
/// for up to Slots requests at a time, slower with more of them; others queue
/// in the order of arrival.
class SimulatedEngine {
public:
  static constexpr unsigned Slots = 22;
  static constexpr double PromptTokens = 700;
  static constexpr int Events = 18;

  explicit SimulatedEngine(
      std::size_t MaxQueue = std::numeric_limits<std::size_t>::max())
      : MaxQueue(MaxQueue) {}

  /// Adds a request; returns false if the queue is full.
  bool offer(std::size_t Request) {
    if (this->Running.size() >= Slots && this->Queue.size() >= this->MaxQueue)
      return false;
    this->Queue.push_back({Request});
    return true;
  }
  void cancel(std::size_t Request) {
    auto IsIt = [&](const Job &Row) { return Row.Request == Request; };
    std::erase_if(this->Queue, IsIt);
    std::erase_if(this->Running, IsIt);
  }
  /// Works for \p StepMs; calls \p OnEvent with each request that makes an
  /// event and the number of its events so far. Events is the last.
  void work(int StepMs, const std::function<void(std::size_t, int)> &OnEvent) {
    while (!this->Queue.empty() && this->Running.size() < Slots) {
      this->Running.push_back(this->Queue.front());
      this->Queue.pop_front();
    }
    double Reads = PromptTokensPerMs * StepMs;
    double EventMs =
        8 * (6.07 + 0.12 * static_cast<double>(this->Running.size()));
    for (auto At = this->Running.begin(); At != this->Running.end();) {
      double Read = std::min(Reads, At->Unread);
      Reads -= Read;
      At->Unread -= Read;
      if (At->Unread <= 0)
        At->NextEventMs += StepMs;
      if (At->NextEventMs < EventMs) {
        ++At;
        continue;
      }
      At->NextEventMs = 0;
      std::size_t Request = At->Request;
      int Made = ++At->Made;
      At = Made == Events ? this->Running.erase(At) : std::next(At);
      OnEvent(Request, Made);
    }
  }
  std::size_t inFlight() const {
    return this->Queue.size() + this->Running.size();
  }

private:
  static constexpr double PromptTokensPerMs = 46;
  struct Job {
    std::size_t Request = 0;
    double Unread = PromptTokens;
    double NextEventMs = 0;
    int Made = 0;
  };
  std::size_t MaxQueue;
  std::deque<Job> Queue;
  std::list<Job> Running;
};

} // namespace waycove::test
