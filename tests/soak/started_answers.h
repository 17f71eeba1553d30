// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "soak/config_series.h"

#include <map>
#include <optional>

namespace waycove::test {

/// What an entry logged about a request.
struct LoggedRequest {
  /// Version of the configuration under which it was admitted.
  int Config = 0;
  /// How often the entry logged that it cut the response, and why, at last.
  int Cuts = 0;
  std::string Cause;
  std::string Reason;
};

/// Compares the ends of requests as their callers saw them with what the
/// entries logged, once a run is over:
/// - a response that had started and was not completed was cut for one of a few
///   causes, which the entry has logged once, and which the faults of the run
///   confirm. A silent target is no cause;
/// - a request ends by its route's timeout.
/// Used by one thread.
class StartedAnswers {
public:
  StartedAnswers(SoakSystem &System, const ConfigSeries &Configs)
      : System(System), Configs(Configs) {}
  void check();
  /// Requests that reached their route's timeout.
  unsigned long timedOut() const { return this->TimedOut; }
  /// Responses that had started and were not completed.
  unsigned long cut() const { return this->Cut; }

private:
  using RequestsOfEntry = std::map<std::string, LoggedRequest>;

  /// Reads the entries' logs, again until they hold all cut responses.
  void readLogs(const std::vector<EndedCall> &Calls);
  void readLog(const std::string &Node);
  const LoggedRequest *logged(const EndedCall &Call) const;
  int timeoutMs(const EndedCall &Call) const;
  void checkTimeout(const EndedCall &Call);
  void checkCut(const EndedCall &Call);
  bool mayMissLine(const EndedCall &Call);
  /// Why the response cannot have been cut for \p Cause; empty if it can.
  std::string refute(const EndedCall &Call, const std::string &Cause);
  /// Returns how many attempts may have broken: one at each target that broke,
  /// or whose connections did, or as many as that target got.
  int countBroken(const EndedCall &Call);
  int countArrivals(const std::string &Id, const std::string &Vm);

  SoakSystem &System;
  const ConfigSeries &Configs;
  std::map<std::string, RequestsOfEntry> Entries;
  unsigned long TimedOut = 0;
  unsigned long Cut = 0;
};

} // namespace waycove::test
