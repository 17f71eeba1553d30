// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "soak/started_answers.h"

#include "soak/soak_config.h"

#include <algorithm>
#include <sstream>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

/// By then after its route's timeout a request has to be ended.
constexpr std::uint64_t EndBoundMs = 500;
/// Entries know the arrival of a request to a tick of the kernel's clock, and
/// times are rounded to milliseconds.
constexpr std::uint64_t ArrivalToleranceMs = 12;
/// A line is written by a thread of its own.
constexpr milliseconds LogDelay(2000);
constexpr int RequestCutEvent = 508;

bool isCut(const EndedCall &Call) { return Call.Events > 0 && !Call.Whole; }

} // namespace

void StartedAnswers::check() {
  std::vector<EndedCall> Calls = this->System.Calls.all();
  this->readLogs(Calls);
  for (const EndedCall &Call : Calls) {
    if (!Call.Refused)
      this->checkTimeout(Call);
    if (isCut(Call))
      this->checkCut(Call);
  }
}

void StartedAnswers::readLogs(const std::vector<EndedCall> &Calls) {
  eventually(
      [&] {
        for (const char *Node : {"n1", "n2"})
          this->readLog(Node);
        return std::ranges::all_of(Calls, [&](const EndedCall &Call) {
          const LoggedRequest *Found = this->logged(Call);
          return !isCut(Call) || (Found && Found->Cuts > 0) ||
                 this->mayMissLine(Call);
        });
      },
      LogDelay);
}

void StartedAnswers::readLog(const std::string &Node) {
  RequestsOfEntry &Rows = this->Entries[Node];
  Rows.clear();
  std::istringstream Lines(this->System.Run.logOf(Node));
  for (std::string Text; std::getline(Lines, Text);) {
    auto Line = Text.find("\"config\"") == std::string::npos
                    ? absl::StatusOr<JsonObject>(absl::NotFoundError(""))
                    : parseJson(Text);
    if (!Line.ok())
      continue;
    LoggedRequest &Row = Rows[textAt(*Line, "subject")];
    Row.Config = static_cast<int>(numberAt(*Line, "config"));
    if (numberAt(*Line, "event") != RequestCutEvent)
      continue;
    ++Row.Cuts;
    Row.Cause = textAt(*Line, "cause");
    Row.Reason = textAt(*Line, "reason");
  }
}

const LoggedRequest *StartedAnswers::logged(const EndedCall &Call) const {
  const RequestsOfEntry &Rows = this->Entries.at(Call.Node);
  auto At = Rows.find(Call.Id);
  return At == Rows.end() ? nullptr : &At->second;
}

/// An entry that was killed, or whose log was too full, may not have logged
/// under which version it admitted the request.
int StartedAnswers::timeoutMs(const EndedCall &Call) const {
  const LoggedRequest *Found = this->logged(Call);
  return Found ? this->Configs.timeoutMsOf(Found->Config)
               : this->Configs.longestTimeoutMs();
}

void StartedAnswers::checkTimeout(const EndedCall &Call) {
  std::uint64_t Timeout =
      Call.Begin + static_cast<std::uint64_t>(this->timeoutMs(Call));
  if (Call.End >= Timeout)
    ++this->TimedOut;
  std::uint64_t RunsSince =
      this->System.Outages.latestEnd(Call.Node, Call.Begin, Call.End);
  if (Call.End > std::max(Timeout, RunsSince) + EndBoundMs)
    this->System.Failures.add(
        Call.Id + ": ended " + std::to_string(Call.durationMs()) +
        " ms after it was sent to " + Call.Node + " at " +
        std::to_string(Call.Begin) + ", " +
        std::to_string(Call.End - RunsSince) + " ms after that ran again");
}

bool StartedAnswers::mayMissLine(const EndedCall &Call) {
  bool Left = milliseconds(Call.durationMs()) >= this->System.callTimeout();
  return Left ||
         this->System.Kills.wasDisturbed(Call.Node, Call.Begin, Call.End);
}

void StartedAnswers::checkCut(const EndedCall &Call) {
  ++this->Cut;
  const LoggedRequest *Found = this->logged(Call);
  LoggedRequest Line = Found ? *Found : LoggedRequest();
  std::string Fault;
  if (Line.Cuts == 0)
    Fault = this->mayMissLine(Call) ? "" : "without a line in the log";
  else if (Line.Cuts > 1)
    Fault = "with " + std::to_string(Line.Cuts) + " lines in the log";
  else
    Fault = this->refute(Call, Line.Cause);
  if (!Fault.empty())
    this->System.Failures.add(Call.Id + ": cut at " + Call.Node + " after " +
                              std::to_string(Call.Events) + " events and " +
                              std::to_string(Call.durationMs()) +
                              " ms, begun at " + std::to_string(Call.Begin) +
                              ", " + Fault + "; cause \"" + Line.Cause +
                              "\", reason \"" + Line.Reason + "\"");
}

std::string StartedAnswers::refute(const EndedCall &Call,
                                   const std::string &Cause) {
  if (Cause == "timeout") {
    auto Timeout = static_cast<std::uint64_t>(this->timeoutMs(Call));
    return Call.durationMs() + ArrivalToleranceMs >= Timeout
               ? ""
               : "before its timeout of " + std::to_string(Timeout) + " ms";
  }
  if (Cause == "caller_left" || Cause == "caller_slow")
    return "while its caller read on";
  if (Cause == "not_resumable")
    return "where its route may be resumed";
  if (Cause == "attempts_used") {
    int Broken = this->countBroken(Call);
    return Broken >= MaxAttempts
               ? ""
               : "where " + std::to_string(Broken) + " attempts broke";
  }
  if (Cause == "crashes_targets")
    return Call.Id.starts_with("crash-") || Call.Id.starts_with("part-")
               ? ""
               : "where it crashes no target";
  if (Cause == "stopping")
    return this->System.Stops.wasDisturbed(Call.Node, Call.Begin, Call.End)
               ? ""
               : "while it was not told to stop";
  return "for no known cause";
}

int StartedAnswers::countBroken(const EndedCall &Call) {
  Disturbances &Breaks = this->System.Breaks;
  int Count = 0;
  for (const std::string &Vm : this->System.Vms)
    if (Breaks.wasDisturbed(Vm, Call.Begin, Call.End) ||
        Breaks.wasDisturbed(SoakSystem::linkName(Call.Node, Vm), Call.Begin,
                            Call.End))
      Count += std::max(1, this->countArrivals(Call.Id, Vm));
  return Count;
}

int StartedAnswers::countArrivals(const std::string &Id,
                                  const std::string &Vm) {
  int Count = 0;
  std::istringstream Lines(this->System.Run.logOf(Vm));
  for (std::string Line; std::getline(Lines, Line);)
    Count += Line.starts_with("got " + Id + " ") ? 1 : 0;
  return Count;
}

} // namespace waycove::test
