// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/clock.h"

#include <concepts>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace waycove {

/// Events with stable numbers. The number of a removed event is not reused.
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
  StoreRestored = 208,
  RecordWrittenAgain = 209,
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
  AttemptEnded = 507,
  RequestCut = 508,
  SettingsReloaded = 104,
  SettingsRefused = 105,
  LogLinesDropped = 106,
  DaemonNotReady = 107,
  ThreadNotStarted = 108,
  TaskFailed = 111,
  PollerDelayed = 109,
  NodeStoodStill = 115,
  DaemonCrashed = 110,
  ConfigApplied = 210,
  ConfigRefused = 211,
  ConfigUnproven = 212,
  ConfigProven = 213,
  RegistryRefused = 214,
  ConfigLost = 215,
  ConfigWrittenAgain = 216,
  TargetChanged = 220,
  TargetGone = 221,
  TargetKept = 223,
  RegistryUnproven = 224,
  RegistryProven = 225,
  CentreBusy = 226,
  CentreEased = 227,
  ServingChanged = 222,
  TargetReborn = 228,
  EntryHeld = 229,
  EvacuationBegun = 230,
  EvacuationEnded = 231,
  PoolOverloaded = 232,
  PoolRelieved = 233,
  VmTimeSpent = 234,
  DomainsOwned = 310,
  DomainOrder = 311,
  DomainOrderEnded = 312,
  DomainReleased = 313,
  TargetSuspected = 314,
  TargetLimited = 315,
  TargetUnlimited = 316,
  TargetRests = 317,
  TargetLeaves = 318,
  StatementUnreadable = 319,
  TargetsUnreachable = 320,
  TargetsReachable = 321,
  AnswerOverBounds = 322,
  NeighbourUnusable = 413,
  RequestCarried = 512,
  RequestOverdue = 513,
  RequestWaits = 514,
  ConnectionRefused = 515,
  RequestBlamed = 509,
  RequestCleared = 510,
  RequestTried = 511,
  ReaderChosen = 402,
  ReaderLost = 403,
  FeedReadAlone = 404,
  FeedAdvanced = 405,
  NewsFromPeer = 406,
  StoreCallsMade = 407,
  NewsRefused = 408,
  JoinAnswered = 409,
  JoinedAnnounced = 410,
  SeedsUnreachable = 411,
  JoinRefused = 412,
};

enum class Severity { Debug, Info, Warning, Error };

/// An entry of the event catalogue.
struct EventInfo {
  EventCode Code;
  Severity Level;
  std::string_view Name;
  std::string_view Meaning;
};

const std::vector<EventInfo> &eventCatalogue();
const EventInfo &infoFor(EventCode Code);
/// Returns the catalogue as the Markdown text of docs/EVENTS.md.
std::string eventsMarkdown();

/// Builds the named fields of an event as JSON text.
class LogFields {
public:
  LogFields &add(std::string_view Key, std::string_view Text);
  LogFields &add(std::string_view Key, const char *Text) {
    return this->add(Key, std::string_view(Text));
  }
  LogFields &add(std::string_view Key, const std::string &Text) {
    return this->add(Key, std::string_view(Text));
  }
  LogFields &add(std::string_view Key, bool Value);
  template <std::integral Integer>
  LogFields &add(std::string_view Key, Integer Value) {
    return this->addRaw(Key, std::to_string(Value));
  }
  LogFields &add(std::string_view Key, Millis Value) {
    return this->add(Key, Value.count());
  }
  LogFields &add(std::string_view Key, double Value);
  /// Returns the members of a JSON object, each preceded by a comma.
  const std::string &text() const { return this->Json; }

private:
  LogFields &addRaw(std::string_view Key, std::string_view Value);
  std::string Json;
};

/// An event with its time, node and fields.
struct LoggedEvent {
  std::uint64_t Clock = 0;
  EventCode Code{};
  NodeId Node;
  std::string Subject;
  std::string Detail;
  /// As LogFields::text().
  std::string Fields;
};

std::string eventJson(const LoggedEvent &Event);

/// Writes events to the log as JSON lines and keeps the newest events in a ring
/// buffer for `waycove timeline`. Thread-safe.
class Events {
public:
  Events(NodeId Node, HybridClock &Clock);

  /// Records event \p Code about \p Subject.
  void emit(EventCode Code, const std::string &Subject,
            const std::string &Detail = "");
  void emit(EventCode Code, const std::string &Subject,
            const LogFields &Fields);
  /// Returns the events with a timestamp greater than \p After, oldest first.
  std::vector<LoggedEvent> since(std::uint64_t After) const;

private:
  /// Never throws.
  void emit(EventCode Code, const std::string &Subject,
            const std::string &Detail, const std::string &Fields);
  void write(const LoggedEvent &Event);
  /// Returns whether the rate limit allows another line of this event, and
  /// counts the dropped lines; their number is logged later. Requires Mutex.
  bool admitLine(const EventInfo &Info, TimePoint Now);

  NodeId Node;
  HybridClock &Clock;
  mutable std::mutex Mutex;
  std::deque<LoggedEvent> Ring;
  double AvailableLines;
  TimePoint RefilledAt;
  std::uint64_t Dropped = 0;
};

/// Configures Boost.Log to write events of at least \p MinLevel to standard
/// output, one JSON object per line. A separate thread writes the lines; when
/// its queue is full, lines are dropped instead of blocking.
void initLogging(Severity MinLevel);
/// Flushes the queue and stops the writing thread.
void stopLogging();

} // namespace waycove
