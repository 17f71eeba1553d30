// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "base/events.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSONString.h>
#include <algorithm>
#include <array>
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

constexpr std::size_t RingRows = 4096;
/// Bounds on the log's volume: a busy node writes about one line a request at
/// some tens of requests a second; a flood of failures is cut to this.
constexpr double LinesPerSecond = 200;
constexpr double LineBurst = 1000;
/// Lines that wait for the writer before further ones are dropped.
constexpr std::size_t QueuedLines = 2048;

using enum EventCode;

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

} // namespace

const std::vector<EventInfo> &eventCatalogue() {
  using enum Severity;
  static const std::vector<EventInfo> Rows{
      {DaemonStarted, Info, "daemon_started", "The process listens."},
      {DaemonReady, Info, "daemon_ready",
       "The newest state that platform or peers offer is folded; requests are "
       "taken."},
      {DaemonNotReady, Warning, "daemon_not_ready",
       "The balancer is told to send no callers; the fields say why."},
      {DaemonStopping, Info, "daemon_stopping",
       "A planned stop began: no new work, work in flight finishes."},
      {DaemonStopped, Info, "daemon_stopped",
       "The process ends; the detail says what was cut, if anything."},
      {RecordAccepted, Info, "record_accepted",
       "The fold accepted a record of the log."},
      {RecordRefused, Info, "record_refused",
       "The fold refused a record: an earlier one won, or it is invalid."},
      {LogUnreachable, Warning, "log_unreachable",
       "The platform's log does not answer."},
      {LogReachable, Info, "log_reachable",
       "The platform's log answers again."},
      {LogStale, Warning, "log_stale",
       "The log offered less than was folded before; it was not taken."},
      {StoreRestored, Warning, "store_restored",
       "The platform's store came back from an older copy of itself: what it "
       "acknowledged since is gone, offsets are given out again. The fields "
       "say what this node knew of the feed, and what the store holds."},
      {RecordWrittenAgain, Info, "record_written_again",
       "A record that the log lost when it came back from an older copy was "
       "appended again, or could not be; the detail says where, or why not."},
      {CheckpointWritten, Info, "checkpoint_written",
       "The folded state was appended as a checkpoint."},
      {CheckpointLoaded, Info, "checkpoint_loaded",
       "The state was taken from a checkpoint or a peer's copy."},
      {RecordsFromPeer, Info, "records_from_peer",
       "Records were learned from a peer, not from the platform."},
      {GroupProposed, Info, "group_proposed",
       "A record that forms or dissolves a group was appended."},
      {GroupReady, Info, "group_ready",
       "Every member reports this group, this fence and loaded."},
      {GroupNotReady, Warning, "group_not_ready",
       "A group stopped serving; the detail names the member and why."},
      {GroupOrdered, Debug, "group_ordered",
       "A member was ordered to load under a fence."},
      {VmLeaving, Info, "vm_leaving", "A VM gets no new work from here on."},
      {PeerJoined, Info, "peer_joined", "A daemon became a live peer."},
      {PeerLost, Warning, "peer_lost",
       "A daemon's heartbeats stopped, or it left the directory."},
      {ReaderChosen, Info, "reader_chosen",
       "A neighbour reads the platform's store for this node from here on."},
      {ReaderLost, Warning, "reader_lost",
       "This node reads the platform's store itself from here on."},
      {FeedReadAlone, Info, "feed_read_alone",
       "A neighbour left out what is large; this node reads it from the "
       "store."},
      {FeedAdvanced, Info, "feed_advanced",
       "What this node knows of a feed went on; the fields say from whom, to "
       "which offset, and how old its proof was."},
      {NewsFromPeer, Info, "news_from_peer",
       "This node lost the store and nobody reads for it: it learns from a "
       "node "
       "that may, until it has the store back."},
      {NewsRefused, Warning, "news_refused",
       "What another node told could not be read and was not taken."},
      {StoreCallsMade, Info, "store_calls",
       "How often this node called the platform's store since its start, by "
       "use and cause."},
      {RequestDone, Info, "request_done", "A whole answer was given."},
      {RequestRefused, Info, "request_refused",
       "A request got an error; the detail gives kind and reason."},
      {RequestResumed, Warning, "request_resumed",
       "A stream went on at another replica."},
      {RequestRetried, Warning, "request_retried",
       "A request that did not run, or is repeatable, was sent again."},
      {RequestForwarded, Debug, "request_forwarded",
       "A request was passed to an entry VM of another data centre."},
      {TargetEjected, Warning, "target_ejected",
       "A target is left out of routing for a while."},
      {ClaimBound, Debug, "claim_bound",
       "An idempotency key is bound to this daemon by the log."},
      {AttemptEnded, Info, "attempt_ended",
       "A send of a request to a target ended other than with its answer."},
      {RequestBlamed, Warning, "request_blamed",
       "Targets ended while they ran requests of this content; no more are "
       "sent."},
      {RequestCleared, Info, "request_cleared",
       "Requests of this content are sent again."},
      {RequestTried, Info, "request_tried",
       "A request of a blamed content is sent once more, to learn whether its "
       "target ends."},
      {RequestCut, Warning, "request_cut",
       "An answer that had begun could not be completed."},
      {SettingsReloaded, Info, "settings_reloaded",
       "The settings file was read again and is in force."},
      {SettingsRefused, Error, "settings_refused",
       "The settings file was read again and is wrong; the old ones stay."},
      {LogLinesDropped, Warning, "log_lines_dropped",
       "Lines were left out to keep the log's volume bounded."},
      {ConfigApplied, Info, "config_applied",
       "A version of the routing configuration came into force."},
      {ConfigRefused, Error, "config_refused",
       "A routing configuration was not taken; the old one stays."},
      {ConfigUnproven, Warning, "config_unproven",
       "The store did not confirm the configuration in time: requests with "
       "keys are refused, unless the settings allow the newest known."},
      {ConfigProven, Info, "config_proven",
       "The store confirms the configuration again."},
      {ConfigLost, Warning, "config_lost",
       "The store came back without a version of the configuration that was in "
       "force, here or at another node: it proves no keys until operators have "
       "written again. The fields say which is in force here."},
      {ConfigWrittenAgain, Info, "config_written_again",
       "The store shows the version that it had lost, or a newer one."},
      {RegistryRefused, Warning, "registry_refused",
       "An entry of the registry could not be read and was left out."},
      {TargetChanged, Info, "target_changed",
       "The registry shows a target new or in another state."},
      {TargetGone, Info, "target_gone",
       "The registry lists a target no longer."},
      {EntryHeld, Info, "entry_held",
       "The store came back with an entry of this target that is older than "
       "what is known of it, which stays in use; the fields say why."},
      {TargetReborn, Info, "target_reborn",
       "A target started again under its id: nothing holds of what it held and "
       "knew before."},
      {TargetKept, Info, "target_kept",
       "The registry dropped a target that may come back, since the store was "
       "away: it is kept for a while."},
      {RegistryUnproven, Warning, "registry_unproven",
       "What this node knows of targets is older than the bound on leaving "
       "ones: "
       "those that close their connections serve only where no other does."},
      {RegistryProven, Info, "registry_proven",
       "What this node knows of targets is within that bound again."},
      {CentreBusy, Info, "centre_busy",
       "Targets of this data centre are busier than others, or fewer than "
       "they were: a part of the requests goes to other data centres."},
      {CentreEased, Info, "centre_eased",
       "Nearly all requests stay in this data centre again."},
      {ServingChanged, Info, "serving_changed",
       "The targets that requests choose from are others."},
      {DomainsOwned, Info, "domains_owned",
       "The domains whose groups this node orders are others."},
      {DomainOrder, Info, "domain_order", "A target is sent an order."},
      {DomainOrderEnded, Info, "domain_order_ended",
       "How a target took an order."},
      {DomainReleased, Warning, "domain_released",
       "A group is given up; the fields say why."},
      {TargetSuspected, Warning, "target_suspected",
       "A target gets no new work for a while; the fields say why."},
  };
  return Rows;
}

const EventInfo &infoFor(EventCode Code) {
  for (const EventInfo &Row : eventCatalogue())
    if (Row.Code == Code)
      return Row;
  return eventCatalogue().front();
}

std::string eventsMarkdown() {
  std::ostringstream Out;
  Out << "# Events\n\nGenerated by `waycoved --list_events`; CI checks that "
         "it is current.\n\n| number | name | level | meaning |\n"
         "|---|---|---|---|\n";
  for (const EventInfo &Row : eventCatalogue())
    Out << "| " << static_cast<int>(Row.Code) << " | " << Row.Name << " | "
        << severityName(Row.Level) << " | " << Row.Meaning << " |\n";
  return Out.str();
}

std::string eventJson(const LoggedEvent &Row) {
  const EventInfo &Info = infoFor(Row.Code);
  Poco::JSON::Object Body;
  Body.set("clock", Row.Clock);
  Body.set("time_ms", Row.Clock >> 16);
  Body.set("event", static_cast<int>(Row.Code));
  Body.set("name", std::string(Info.Name));
  Body.set("level", std::string(severityName(Info.Level)));
  Body.set("node", Row.Node.Text);
  Body.set("subject", Row.Subject);
  if (!Row.Detail.empty() || Row.Fields.empty())
    Body.set("detail", Row.Detail);
  std::ostringstream Out;
  Body.stringify(Out);
  std::string Text = Out.str();
  Text.insert(Text.size() - 1, Row.Fields);
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
    : Node(std::move(Node)), Clock(Clock), LineCredit(LineBurst) {}

void Events::emit(EventCode Code, const std::string &Subject,
                  const std::string &Detail) {
  this->keep({this->Clock.tick(SystemClock{}.wall()), Code, this->Node, Subject,
              Detail, ""});
}

void Events::emit(EventCode Code, const std::string &Subject,
                  const LogFields &Fields) {
  this->keep({this->Clock.tick(SystemClock{}.wall()), Code, this->Node, Subject,
              "", Fields.text()});
}

bool Events::admitLine(TimePoint Now) {
  double Seconds = std::chrono::duration<double>(Now - this->CreditAt).count();
  this->LineCredit =
      std::min(LineBurst, this->LineCredit + Seconds * LinesPerSecond);
  this->CreditAt = Now;
  if (this->LineCredit < 1) {
    ++this->Dropped;
    return false;
  }
  this->LineCredit -= 1;
  return true;
}

void Events::keep(const LoggedEvent &Row) {
  auto Level = boostLevel(infoFor(Row.Code).Level);
  auto Write = [](boost::log::trivial::severity_level At,
                  const LoggedEvent &Line) {
    BOOST_LOG_STREAM_WITH_PARAMS(boost::log::trivial::logger::get(),
                                 (boost::log::keywords::severity = At))
        << eventJson(Line);
  };
  std::uint64_t Missing = 0;
  bool Admitted = false;
  {
    std::lock_guard Lock(this->Mutex);
    Admitted = this->admitLine(SystemClock{}.now());
    if (Admitted)
      Missing = std::exchange(this->Dropped, 0);
    this->Ring.push_back(Row);
    if (this->Ring.size() > RingRows)
      this->Ring.pop_front();
  }
  if (Missing > 0)
    Write(boost::log::trivial::warning,
          {Row.Clock, LogLinesDropped, this->Node, this->Node.Text, "",
           LogFields().add("lines", Missing).text()});
  if (Admitted)
    Write(Level, Row);
}

std::vector<LoggedEvent> Events::since(std::uint64_t After) const {
  std::lock_guard Lock(this->Mutex);
  std::vector<LoggedEvent> Rows;
  for (const LoggedEvent &Row : this->Ring)
    if (Row.Clock > After)
      Rows.push_back(Row);
  return Rows;
}

namespace {

using QueuedSink = boost::log::sinks::asynchronous_sink<
    boost::log::sinks::text_ostream_backend,
    boost::log::sinks::bounded_fifo_queue<QueuedLines,
                                          boost::log::sinks::drop_on_overflow>>;

boost::shared_ptr<QueuedSink> &sink() {
  static boost::shared_ptr<QueuedSink> Sink;
  return Sink;
}

} // namespace

void initLogging(Severity Least) {
  auto Backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
  Backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
  Backend->auto_flush(true);
  sink() = boost::make_shared<QueuedSink>(Backend);
  sink()->set_formatter(boost::log::expressions::stream
                        << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(sink());
  boost::log::core::get()->set_filter(boost::log::trivial::severity >=
                                      boostLevel(Least));
}

void stopLogging() {
  if (!sink())
    return;
  boost::log::core::get()->remove_sink(sink());
  sink()->stop();
  sink()->flush();
  sink().reset();
}

} // namespace waycove
