// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/target_connection_pool.h"

namespace waycove {

namespace {

/// Idle time for a target that states none. Short, since a request on a
/// connection that the target closes at that moment may be lost.
constexpr Millis DefaultIdleTime(1000);
/// Safety margin below the target's idle timeout, which starts before its
/// response arrives here.
constexpr Millis IdleTimeMargin(500);

} // namespace

std::optional<Channel> TargetConnectionPool::take(const VmIncarnation &Target,
                                                  TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  auto At = this->ByTarget.find(Target);
  if (At == this->ByTarget.end())
    return std::nullopt;
  while (!At->second.empty()) {
    IdleConnection Idle = std::move(At->second.back());
    At->second.pop_back();
    // Unexpected bytes would be read as the response to the next request.
    if (Idle.GoodUntil > Now && Idle.Connection.fillNow() == IoStatus::Timeout)
      return std::move(Idle.Connection);
  }
  return std::nullopt;
}

void TargetConnectionPool::put(const VmIncarnation &Target, Channel Connection,
                               Millis KeepAlive, unsigned Max, TimePoint Now) {
  Millis IdleTime =
      KeepAlive.count() > 0 ? KeepAlive - IdleTimeMargin : DefaultIdleTime;
  if (IdleTime.count() <= 0 || Max == 0 || !Connection.buffer().empty())
    return;
  std::lock_guard Lock(this->Mutex);
  auto &Connections = this->ByTarget[Target];
  Connections.push_back({std::move(Connection), Now + IdleTime});
  if (Connections.size() > Max)
    Connections.pop_front();
}

void TargetConnectionPool::closeIdle() {
  std::lock_guard Lock(this->Mutex);
  this->ByTarget.clear();
}

void TargetConnectionPool::sweep(
    const std::function<bool(const VmIncarnation &)> &IsListed, TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  for (auto At = this->ByTarget.begin(); At != this->ByTarget.end();) {
    std::deque<IdleConnection> &Connections = At->second;
    std::erase_if(Connections, [&](const IdleConnection &Idle) {
      return Idle.GoodUntil <= Now || Idle.Connection.isReadable();
    });
    bool Drop = Connections.empty() || !IsListed(At->first);
    At = Drop ? this->ByTarget.erase(At) : std::next(At);
  }
}

} // namespace waycove
