// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "base/events.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSONString.h>
#include <algorithm>
#include <array>
#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/trivial.hpp>
#include <boost/make_shared.hpp>
#include <iostream>
#include <sstream>
#include <utility>

namespace waycove {

namespace {

constexpr std::size_t MaxRingEvents = 4096;
/// Rate limit on log lines. In normal operation, a node writes about one line
/// per request.
constexpr double LinesPerSecond = 200;
/// All lines that may come at once; the writer's queue has room for them.
constexpr double LineBurst = 2000;
/// Lines of the burst that information leaves to warnings, and those that both
/// leave to the lines without which nobody knows how an answer or the process
/// ended.
constexpr double ReservedForWarnings = 500;
constexpr double ReservedForEnds = 500;
/// Capacity of the writer's queue, in lines.
constexpr std::size_t QueuedLines = 2048;

using enum EventCode;

/// Lines that were admitted and could not be written, since their reader was
/// too slow or no memory was free. Logged with those that were not admitted.
std::atomic<std::uint64_t> LostLines{0};
/// Whether the line that this thread wrote last was lost to a full queue.
thread_local bool IsLineLost = false;

std::string_view severityName(Severity Level) {
  switch (Level) {
  case Severity::Debug:
    return "debug";
  case Severity::Info:
    return "info";
  case Severity::Warning:
    return "warning";
  case Severity::Error:
    break;
  }
  return "error";
}

boost::log::trivial::severity_level boostLevel(Severity Level) {
  switch (Level) {
  case Severity::Debug:
    return boost::log::trivial::debug;
  case Severity::Info:
    return boost::log::trivial::info;
  case Severity::Warning:
    return boost::log::trivial::warning;
  case Severity::Error:
    break;
  }
  return boost::log::trivial::error;
}

/// How many lines have to be left for an event to be logged.
double reservedFrom(const EventInfo &Info) {
  bool IsEnd = Info.Level == Severity::Error || Info.Code == RequestCut ||
               Info.Code == DaemonStopping || Info.Code == DaemonStopped;
  if (IsEnd)
    return 0;
  return Info.Level == Severity::Warning
             ? ReservedForEnds
             : ReservedForEnds + ReservedForWarnings;
}

} // namespace

const std::vector<EventInfo> &eventCatalogue() {
  using enum Severity;
  static const std::vector<EventInfo> Catalogue{
      {DaemonStarted, Info, "daemon_started",
       "The process listens for connections."},
      {DaemonReady, Info, "daemon_ready",
       "The newest state known to the platform or peers is folded; requests "
       "are accepted."},
      {DaemonNotReady, Warning, "daemon_not_ready",
       "Readiness checks of the load balancer fail; the fields give the "
       "reason."},
      {DaemonStopping, Info, "daemon_stopping",
       "A planned stop began: no new work is accepted, and work in flight "
       "finishes."},
      {DaemonStopped, Info, "daemon_stopped",
       "The process ends; the detail lists interrupted requests, if any."},
      {DaemonCrashed, Error, "daemon_crashed",
       "The process ends by a fatal signal or an exception that nobody "
       "catches; the fields give the reason and the number of requests in "
       "flight, which are cut."},
      {ThreadNotStarted, Warning, "thread_not_started",
       "No thread could be started for a part of the work, which is done by "
       "others or refused."},
      {TaskFailed, Warning, "task_failed",
       "A task of the daemon itself ended with an exception and is tried "
       "again; the fields give the reason."},
      {PollerDelayed, Warning, "poller_delayed",
       "The thread that accepts connections and notices requests was held up; "
       "the fields give by what and for how long."},
      {NodeStoodStill, Warning, "node_stood_still",
       "No thread of this node ran for some time: its process was stopped, or "
       "its machine was suspended or too busy. The time does not count as "
       "silence of targets."},
      {RecordAccepted, Info, "record_accepted",
       "A log record was accepted into the folded state."},
      {RecordRefused, Info, "record_refused",
       "A log record was rejected: an earlier record takes precedence, or it "
       "is invalid."},
      {LogUnreachable, Warning, "log_unreachable",
       "The platform's log is unreachable."},
      {LogReachable, Info, "log_reachable",
       "The platform's log is reachable again."},
      {LogStale, Warning, "log_stale",
       "The log returned a state older than the folded state, which was "
       "ignored."},
      {StoreRestored, Warning, "store_restored",
       "The platform's store was restored from a backup: writes acknowledged "
       "since the backup are lost, and their offsets are reused. The fields "
       "give the position of the feed on this node and in the store."},
      {RecordWrittenAgain, Info, "record_written_again",
       "A record that the log lost in a restore was appended again, or could "
       "not be; the detail gives its new offset or the reason."},
      {CheckpointWritten, Info, "checkpoint_written",
       "The folded state was written to the log as a checkpoint."},
      {CheckpointLoaded, Info, "checkpoint_loaded",
       "The state was loaded from a checkpoint or from a peer."},
      {RecordsFromPeer, Info, "records_from_peer",
       "Records were received from a peer instead of the platform."},
      {GroupProposed, Info, "group_proposed",
       "A record that forms or dissolves a group was appended."},
      {GroupReady, Info, "group_ready",
       "Every member reports that it has loaded this group under its fence."},
      {GroupNotReady, Warning, "group_not_ready",
       "A group stopped serving; the detail gives the member and the reason."},
      {GroupOrdered, Debug, "group_ordered",
       "A member was ordered to load under a fence."},
      {VmLeaving, Info, "vm_leaving", "A VM is leaving and gets no new work."},
      {PeerJoined, Info, "peer_joined", "A daemon became a live peer."},
      {PeerLost, Warning, "peer_lost",
       "A daemon's heartbeats stopped, or it was removed from the directory."},
      {ReaderChosen, Info, "reader_chosen",
       "This node now receives updates from an upstream node instead of "
       "reading "
       "the platform's store."},
      {ReaderLost, Warning, "reader_lost",
       "This node has no upstream node and now reads the platform's store "
       "itself."},
      {FeedReadAlone, Info, "feed_read_alone",
       "The upstream node omitted large records; this node reads them from the "
       "store."},
      {FeedAdvanced, Info, "feed_advanced",
       "This node's copy of a feed advanced; the fields give the source, the "
       "new offset and the age of its proof."},
      {NewsFromPeer, Info, "news_from_peer",
       "This node cannot reach the store and has no upstream node; it receives "
       "updates from another node until the store is reachable."},
      {NewsRefused, Warning, "news_refused",
       "An update from another node could not be decoded and was ignored."},
      {JoinAnswered, Info, "join_answered",
       "A seed told this node, which starts, where to get the feeds from."},
      {JoinedAnnounced, Info, "joined_announced",
       "As a seed, this node has announced the nodes that asked it to join."},
      {SeedsUnreachable, Warning, "seeds_unreachable",
       "No seed answers this node, which starts. It reads the store when its "
       "turn comes."},
      {JoinRefused, Warning, "join_refused",
       "A request to join could not be decoded and was ignored."},
      {StoreCallsMade, Info, "store_calls",
       "Number of calls to the platform's store since the start of this node, "
       "by use and cause."},
      {RequestDone, Info, "request_done",
       "A request was answered with a complete response."},
      {RequestRefused, Info, "request_refused",
       "A request was answered with an error; the detail gives its kind and "
       "the "
       "reason."},
      {RequestResumed, Warning, "request_resumed",
       "A stream was resumed on another replica."},
      {RequestRetried, Warning, "request_retried",
       "A request that did not run, or is repeatable, was retried."},
      {RequestForwarded, Debug, "request_forwarded",
       "A request was forwarded to an entry VM of another data centre."},
      {TargetEjected, Warning, "target_ejected",
       "A target is temporarily excluded from routing."},
      {ClaimBound, Debug, "claim_bound",
       "The log bound an idempotency key to this daemon."},
      {AttemptEnded, Info, "attempt_ended",
       "An attempt to send a request to a target ended without a complete "
       "response."},
      {RequestBlamed, Warning, "request_blamed",
       "Targets crashed while running requests with this content or these "
       "parts of prompts; such requests are now refused."},
      {RequestCleared, Info, "request_cleared",
       "Requests with this content or these parts are accepted again."},
      {RequestTried, Info, "request_tried",
       "A request with blamed content is sent once to find out whether its "
       "target crashes."},
      {RequestOverdue, Warning, "request_overdue",
       "A request was ended too long after its timeout; the fields give the "
       "timeout, how long it was unread and how long its response took to be "
       "written."},
      {RequestWaits, Info, "request_waits",
       "A response that had started lost its target and waits for another one, "
       "for a retry or for a way; the fields give what is missing and the time "
       "that is left. Logged once a request."},
      {ConnectionRefused, Warning, "connection_refused",
       "A connection could not be accepted or served, or has to wait, since "
       "descriptors, threads, memory or allowed connections are short; the "
       "fields give the reason. None of its requests was read."},
      {RequestCut, Warning, "request_cut",
       "A response that had started could not be completed; the fields give "
       "the cause, the time that was left and how its last attempt ended."},
      {SettingsReloaded, Info, "settings_reloaded",
       "The settings file was read again and is valid; changes take effect "
       "after a restart."},
      {SettingsRefused, Error, "settings_refused",
       "The settings file was read again and is invalid; the settings in "
       "force stay."},
      {LogLinesDropped, Warning, "log_lines_dropped",
       "Log lines were dropped to limit the log's volume."},
      {ConfigApplied, Info, "config_applied",
       "A new version of the routing configuration is in force."},
      {ConfigRefused, Error, "config_refused",
       "A routing configuration was rejected; the previous version stays in "
       "force."},
      {ConfigUnproven, Warning, "config_unproven",
       "The store did not confirm the configuration in time: requests with "
       "keys are refused, unless the settings allow the newest known version."},
      {ConfigProven, Info, "config_proven",
       "The store has confirmed the configuration again."},
      {ConfigLost, Warning, "config_lost",
       "The restored store lacks a version of the configuration that was in "
       "force on this or another node: no keys are proven until operators "
       "write it again. The fields give the version in force on this node."},
      {ConfigWrittenAgain, Info, "config_written_again",
       "The store has the version that it had lost, or a newer one."},
      {RegistryRefused, Warning, "registry_refused",
       "A registry entry could not be decoded and was ignored."},
      {TargetChanged, Info, "target_changed",
       "The registry lists a new target or a target's new state."},
      {TargetGone, Info, "target_gone",
       "The registry no longer lists a target."},
      {EntryHeld, Info, "entry_held",
       "The restored store has an entry of this target that is older than the "
       "known one, which stays in use; the fields give the reason."},
      {EvacuationBegun, Info, "evacuation_begun",
       "Operators evacuate a data centre: its targets receive no requests. "
       "The field `known` tells whether the settings name the data centre."},
      {EvacuationEnded, Info, "evacuation_ended",
       "An evacuation of a data centre has ended; its targets count as cold at "
       "first."},
      {TargetReborn, Info, "target_reborn",
       "A target restarted under the same id and lost its earlier state."},
      {TargetKept, Info, "target_kept",
       "The registry removed a target after the store was unavailable; it may "
       "come back and is retained for a while."},
      {RegistryUnproven, Warning, "registry_unproven",
       "This node's data about targets is older than the drain bound: targets "
       "that close their connections are used only if no other target serves."},
      {RegistryProven, Info, "registry_proven",
       "This node's data about targets is within the drain bound again."},
      {CentreBusy, Info, "centre_busy",
       "Targets of this data centre are busier than others, or fewer than "
       "before: some requests are sent to other data centres."},
      {CentreEased, Info, "centre_eased",
       "Nearly all requests stay in this data centre again."},
      {PoolOverloaded, Warning, "pool_overloaded",
       "More requests arrive than the targets of a pool can run at once: they "
       "wait at the nodes, and those that cannot be served in time are "
       "refused."},
      {PoolRelieved, Info, "pool_relieved",
       "The targets of a pool can run all requests again."},
      {VmTimeSpent, Info, "vm_time",
       "How many VMs of a service with groups are in each state now. Logged "
       "every 5 s by the first node of each data centre. The field "
       "`loading_staged` tells by model which of the loading VMs load weights "
       "that their hosts have staged."},
      {ServingChanged, Info, "serving_changed",
       "The set of targets that serve requests has changed."},
      {DomainsOwned, Info, "domains_owned",
       "The domains owned by this node have changed."},
      {DomainOrder, Info, "domain_order", "An order is sent to a target."},
      {DomainOrderEnded, Info, "domain_order_ended",
       "The outcome of an order to a target."},
      {DomainReleased, Warning, "domain_released",
       "A group is released; the fields give the reason."},
      {TargetSuspected, Warning, "target_suspected",
       "A target gets no new work for a while; the fields give the reason."},
      {TargetLimited, Info, "target_limited",
       "A target states, in a response to this node or to the one named, how "
       "many requests per second it takes from all nodes together."},
      {TargetUnlimited, Info, "target_unlimited",
       "A target states no limit any more."},
      {TargetRests, Info, "target_rests",
       "A target turned a request away and asked this node for rest: it gets "
       "none until then."},
      {TargetLeaves, Info, "target_leaves",
       "A target states in a response to this node that it leaves: it gets no "
       "more requests."},
      {StatementUnreadable, Warning, "statement_unreadable",
       "A target states something about itself that cannot be read and has no "
       "effect. Logged rarely, however often it happens."},
      {TargetsUnreachable, Warning, "targets_unreachable",
       "This node has lost its links to all targets. Its callers' requests go "
       "through other nodes, or are refused if none of them offers a way."},
      {TargetsReachable, Info, "targets_reachable",
       "This node reaches targets itself again."},
      {AnswerOverBounds, Warning, "answer_over_bounds",
       "A target sends what is no answer, or more of it or for longer than an "
       "answer may take: the connection is closed, and the target avoided for "
       "a while. Logged rarely, however often it happens."},
      {NeighbourUnusable, Info, "neighbour_unusable",
       "Another node offers no way to targets, and is not asked for a while; "
       "the fields give the reason."},
      {RequestCarried, Info, "request_carried",
       "This node carried a request to a target for another node, which has "
       "lost its own links to targets."},
  };
  return Catalogue;
}

const EventInfo &infoFor(EventCode Code) {
  for (const EventInfo &Info : eventCatalogue())
    if (Info.Code == Code)
      return Info;
  return eventCatalogue().front();
}

std::string eventsMarkdown() {
  std::ostringstream Out;
  Out << "# Events\n\nGenerated by `waycoved --list_events`; CI checks that "
         "it is current.\n\n| number | name | level | meaning |\n"
         "|---|---|---|---|\n";
  for (const EventInfo &Info : eventCatalogue())
    Out << "| " << static_cast<int>(Info.Code) << " | " << Info.Name << " | "
        << severityName(Info.Level) << " | " << Info.Meaning << " |\n";
  return Out.str();
}

std::string eventJson(const LoggedEvent &Event) {
  const EventInfo &Info = infoFor(Event.Code);
  Poco::JSON::Object Body;
  Body.set("clock", Event.Clock);
  Body.set("time_ms", Event.Clock >> 16);
  Body.set("event", static_cast<int>(Event.Code));
  Body.set("name", std::string(Info.Name));
  Body.set("level", std::string(severityName(Info.Level)));
  Body.set("node", Event.Node.Text);
  Body.set("subject", Event.Subject);
  if (!Event.Detail.empty() || Event.Fields.empty())
    Body.set("detail", Event.Detail);
  std::ostringstream Out;
  Body.stringify(Out);
  std::string Text = Out.str();
  Text.insert(Text.size() - 1, Event.Fields);
  return Text;
}

LogFields &LogFields::addRaw(std::string_view Key, std::string_view Value) {
  this->Json.append(",\"").append(Key).append("\":").append(Value);
  return *this;
}

LogFields &LogFields::add(std::string_view Key, std::string_view Text) {
  return this->addRaw(Key, Poco::toJSON(std::string(Text)));
}

LogFields &LogFields::add(std::string_view Key, bool Value) {
  return this->addRaw(Key, Value ? "true" : "false");
}

LogFields &LogFields::add(std::string_view Key, double Value) {
  std::array<char, 32> Text{};
  int Length = std::snprintf(Text.data(), Text.size(), "%.4g", Value);
  return this->addRaw(Key, {Text.data(), static_cast<std::size_t>(Length)});
}

Events::Events(NodeId Node, HybridClock &Clock)
    : Node(std::move(Node)), Clock(Clock), AvailableLines(LineBurst) {}

void Events::emit(EventCode Code, const std::string &Subject,
                  const std::string &Detail) {
  this->emit(Code, Subject, Detail, "");
}

void Events::emit(EventCode Code, const std::string &Subject,
                  const LogFields &Fields) {
  this->emit(Code, Subject, "", Fields.text());
}

void Events::emit(EventCode Code, const std::string &Subject,
                  const std::string &Detail, const std::string &Fields) {
  try {
    this->write({this->Clock.tick(SystemClock{}.wall()), Code, this->Node,
                 Subject, Detail, Fields});
  } catch (const std::exception &) {
    // What is logged goes on without its line.
    ++LostLines;
  }
}

bool Events::admitLine(const EventInfo &Info, TimePoint Now) {
  double Seconds =
      std::chrono::duration<double>(Now - this->RefilledAt).count();
  this->AvailableLines =
      std::min(LineBurst, this->AvailableLines + Seconds * LinesPerSecond);
  this->RefilledAt = Now;
  if (this->AvailableLines < 1 + reservedFrom(Info)) {
    ++this->Dropped;
    return false;
  }
  this->AvailableLines -= 1;
  return true;
}

void Events::write(const LoggedEvent &Event) {
  const EventInfo &Info = infoFor(Event.Code);
  auto WriteLine = [](boost::log::trivial::severity_level LineLevel,
                      const LoggedEvent &Line) {
    BOOST_LOG_STREAM_WITH_PARAMS(boost::log::trivial::logger::get(),
                                 (boost::log::keywords::severity = LineLevel))
        << eventJson(Line);
  };
  std::uint64_t DroppedLines = 0;
  bool Admitted = false;
  {
    std::lock_guard Lock(this->Mutex);
    Admitted = this->admitLine(Info, SystemClock{}.now());
    if (Admitted)
      DroppedLines = std::exchange(this->Dropped, 0) + LostLines.exchange(0);
    this->Ring.push_back(Event);
    if (this->Ring.size() > MaxRingEvents)
      this->Ring.pop_front();
  }
  if (DroppedLines > 0) {
    IsLineLost = false;
    WriteLine(boost::log::trivial::warning,
              {Event.Clock, LogLinesDropped, this->Node, this->Node.Text, "",
               LogFields().add("lines", DroppedLines).text()});
    // The queue has counted this line, which is none of those it tells of.
    if (IsLineLost)
      LostLines += DroppedLines - 1;
  }
  if (Admitted)
    WriteLine(boostLevel(Info.Level), Event);
}

std::vector<LoggedEvent> Events::since(std::uint64_t After) const {
  std::lock_guard Lock(this->Mutex);
  std::vector<LoggedEvent> Found;
  for (const LoggedEvent &Event : this->Ring)
    if (Event.Clock > After)
      Found.push_back(Event);
  return Found;
}

namespace {

/// Drops lines while the queue is full, and counts them.
struct CountingDrop : boost::log::sinks::drop_on_overflow {
  template <typename Lock>
  static bool on_overflow(const boost::log::record_view & /*Line*/,
                          Lock & /*Queue*/) {
    IsLineLost = true;
    ++LostLines;
    return false;
  }
};

using QueuedSink = boost::log::sinks::asynchronous_sink<
    boost::log::sinks::text_ostream_backend,
    boost::log::sinks::bounded_fifo_queue<QueuedLines, CountingDrop>>;

boost::shared_ptr<QueuedSink> &sink() {
  static boost::shared_ptr<QueuedSink> Sink;
  return Sink;
}

} // namespace

void initLogging(Severity MinLevel) {
  auto Backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
  Backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
  Backend->auto_flush(true);
  sink() = boost::make_shared<QueuedSink>(Backend);
  sink()->set_formatter(boost::log::expressions::stream
                        << boost::log::expressions::smessage);
  // Where the writing thread finds no memory, it goes on with the next line.
  sink()->set_exception_handler([] { ++LostLines; });
  boost::log::core::get()->add_sink(sink());
  boost::log::core::get()->set_filter(boost::log::trivial::severity >=
                                      boostLevel(MinLevel));
}

void stopLogging() {
  if (!sink())
    return;
  sink()->flush();
  // Without a sink, the library would write lines in a format of its own.
  boost::log::core::get()->set_logging_enabled(false);
  boost::log::core::get()->remove_sink(sink());
  sink()->stop();
  sink()->flush();
  sink().reset();
}

} // namespace waycove
