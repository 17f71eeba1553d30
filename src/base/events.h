// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/clock.h"

#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace waycove {

/// Numbered events. A number is never given to another event again.
enum class EventCode {
  DaemonStarted = 100,
  DaemonReady = 101,
  DaemonStopping = 102,
  DaemonStopped = 103,
  RecordAccepted = 200,
  RecordRefused = 201,
  LogUnreachable = 202,
  LogReachable = 203,
  LogStale = 204,
  CheckpointWritten = 205,
  CheckpointLoaded = 206,
  RecordsFromPeer = 207,
  GroupProposed = 300,
  GroupReady = 301,
  GroupNotReady = 302,
  GroupOrdered = 303,
  VmLeaving = 304,
  PeerJoined = 400,
  PeerLost = 401,
  RequestDone = 500,
  RequestRefused = 501,
  RequestResumed = 502,
  RequestRetried = 503,
  RequestForwarded = 504,
  TargetEjected = 505,
  ClaimBound = 506,
};

enum class Severity { Debug, Info, Warning, Error };

/// One row of the catalogue.
struct EventInfo {
  EventCode Code;
  Severity Level;
  std::string_view Name;
  std::string_view Meaning;
};

const std::vector<EventInfo> &eventCatalogue();
const EventInfo &infoFor(EventCode Code);
/// The catalogue as docs/EVENTS.md holds it.
std::string eventsMarkdown();

/// One event as the time line keeps it.
struct EventRow {
  std::uint64_t Clock = 0;
  EventCode Code{};
  NodeId Node;
  std::string Subject;
  std::string Detail;
};

std::string eventJson(const EventRow &Row);

/// Writes events to the log as JSON lines and keeps the newest of them in a
/// bounded ring, from which `waycove timeline` reads. Thread-safe.
class Events {
public:
  Events(NodeId Node, HybridClock &Clock);

  /// Records that \p Code happened to \p Subject.
  void emit(EventCode Code, const std::string &Subject,
            const std::string &Detail = "");
  /// Rows with a stamp above \p After, oldest first.
  std::vector<EventRow> since(std::uint64_t After) const;

private:
  NodeId Node;
  HybridClock &Clock;
  mutable std::mutex Mutex;
  std::deque<EventRow> Ring;
};

/// Sets Boost.Log to write one JSON object a line to the error stream, for
/// events of at least \p Least.
void initLogging(Severity Least);

} // namespace waycove
