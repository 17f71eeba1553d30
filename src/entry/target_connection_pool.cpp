// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/target_connection_pool.h"

namespace waycove {

namespace {

/// Where a target does not say how long it keeps a connection: short, since a
/// request on a connection that it has just closed may be lost.
constexpr Millis ShortRest(1000);
/// A target's own time ends a little before it says, as we count from the
/// answer's arrival.
constexpr Millis RestMargin(500);

} // namespace

std::optional<Channel> TargetConnectionPool::take(const VmIncarnation &Target,
                                                  TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  auto At = this->Rows.find(Target);
  if (At == this->Rows.end())
    return std::nullopt;
  while (!At->second.empty()) {
    IdleConnection Row = std::move(At->second.back());
    At->second.pop_back();
    // Bytes that wait here belong to no request of ours.
    if (Row.GoodUntil > Now && Row.Connection.fillNow() == IoStatus::Timeout)
      return std::move(Row.Connection);
  }
  return std::nullopt;
}

void TargetConnectionPool::put(const VmIncarnation &Target, Channel Connection,
                               Millis KeepAlive, unsigned Most, TimePoint Now) {
  Millis Rest = KeepAlive.count() > 0 ? KeepAlive - RestMargin : ShortRest;
  if (Rest.count() <= 0 || Most == 0 || !Connection.buffer().empty())
    return;
  std::lock_guard Lock(this->Mutex);
  auto &Row = this->Rows[Target];
  Row.push_back({std::move(Connection), Now + Rest});
  if (Row.size() > Most)
    Row.pop_front();
}

void TargetConnectionPool::sweep(
    const std::function<bool(const VmIncarnation &)> &IsListed, TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  for (auto At = this->Rows.begin(); At != this->Rows.end();) {
    std::deque<IdleConnection> &Row = At->second;
    // The oldest stand in front.
    while (!Row.empty() && Row.front().GoodUntil <= Now)
      Row.pop_front();
    bool Drop = Row.empty() || !IsListed(At->first);
    At = Drop ? this->Rows.erase(At) : std::next(At);
  }
}

} // namespace waycove
