// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "support/timeout_watch.h"

namespace waycove::test {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

TimeoutWatch::TimeoutWatch(Cluster &Run, const std::vector<std::string> &Nodes,
                           milliseconds RouteTimeout)
    : Run(Run), RouteTimeout(RouteTimeout) {
  for (const std::string &Node : Nodes)
    for (int I = 0; I < CallersPerNode; ++I)
      this->Callers.emplace_back([this, Node](const std::stop_token &Stop) {
        while (!Stop.stop_requested())
          this->call(Node);
      });
}

std::string TimeoutWatch::stop() {
  this->Callers.clear();
  return this->Overdue;
}

void TimeoutWatch::call(const std::string &Node) {
  std::string Id = "watched-" + std::to_string(++this->Sent);
  auto Begin = steady_clock::now();
  Reply Response = this->Run.ask(
      Node, {"POST",
             "/safe/x",
             "body",
             {{"Host", "a.example"},
              {"Authorization", "Bearer key-1"},
              {"X-Request-Id", Id},
              {"X-Deadline-Ms", std::to_string(CallerTimeout.count())}},
             CallerTimeout});
  auto Took =
      std::chrono::duration_cast<milliseconds>(steady_clock::now() - Begin);
  if (Took >= this->RouteTimeout)
    ++this->TimedOut;
  if (!Response.Refused && Took > this->RouteTimeout + EndBound) {
    std::lock_guard Lock(this->Mutex);
    this->Overdue += Id + " at " + Node + ": status " +
                     std::to_string(Response.Status) + " after " +
                     std::to_string(Took.count()) + " ms\n";
  }
  std::this_thread::sleep_for(BetweenCalls);
}

} // namespace waycove::test
