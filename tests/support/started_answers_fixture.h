// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "support/cluster.h"
#include "support/entry_config.h"

#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace waycove::test {

/// Entries, targets and limits of a StartedAnswersFixture.
struct StartedAnswersSetup {
  int Entries = 2;
  /// Each target serves alone, and runs this many requests at once.
  int Targets = 8;
  int Slots = 64;
  /// Between two events of a stream, which has StreamEvents.
  std::chrono::milliseconds TokenTime{100};
  /// Limit on the retries of all entries: this many in a window, and the ratio
  /// of the requests.
  double RetrySlack = 20;
  double RetryRatio = 0.2;
  std::chrono::milliseconds RetryWindow{10000};
  std::chrono::milliseconds GracePeriod{4000};
  std::chrono::milliseconds RouteTimeout{8000};
  /// All streams have one content.
  bool IsContentShared = false;
};

/// How a stream ended for its caller.
struct EndedStream {
  std::string Id;
  std::string Entry;
  Reply Response;
  bool isWhole() const {
    return this->Response.Status == 200 && !this->Response.Cut &&
           this->Response.Body == wholeStream();
  }
};

/// A request_cut line of an entry's log.
struct CutLine {
  std::string Cause;
  std::string Reason;
};

/// Entries before targets that send streams. Streams below "/chat/" may be
/// resumed, those below "/twice/" once, those below "/single/" not.
struct StartedAnswersFixture {
  using Milliseconds = std::chrono::milliseconds;
  using Streams = std::vector<std::future<EndedStream>>;

  static constexpr unsigned MaxAttempts = 4;

  explicit StartedAnswersFixture(const StartedAnswersSetup &Setup);

  static std::string entryName(int Number) {
    return "n" + std::to_string(Number);
  }
  static std::string targetName(int Number) {
    return "e-" + std::to_string(Number);
  }

  /// Publishes the next version of the configuration, which changes nothing for
  /// the streams.
  void publish();
  /// Publishes versions in series until the end of the test.
  void publishInSeries();

  /// By default with the route's timeout as the caller's.
  HttpRequest requestOf(const std::string &Path, const std::string &Id,
                        std::optional<Milliseconds> Timeout = {}) const;
  /// Sends requests for \p Count streams, to the entries in turn.
  Streams sendStreams(int Count, const std::string &Path = "/chat/x");
  /// The same, and waits until targets run all of them.
  Streams startStreams(int Count, const std::string &Path = "/chat/x");
  /// Waits for the streams, and checks that each is whole and that the limit
  /// on retries was kept.
  void checkAllWhole(Streams &Started);
  /// Sends a request on a connection of its own, which is returned.
  Poco::Net::StreamSocket send(const HttpRequest &Request);

  /// Signals the processes of targets \p First to \p Last.
  void signalTargets(int First, int Last, int Number);
  void signalEntries(int Number);
  void faultTargets(int First, int Last, const std::string &Json);
  /// Stops all targets for less time than they may be silent. Afterwards their
  /// streams send events at the same moments.
  void bringIntoStep();
  /// Requests that run at the targets; those that are stopped must not be
  /// asked.
  std::uint64_t running(int First, int Last);
  /// Events that targets have sent; those that are stopped must not be asked.
  std::uint64_t events(int First, int Last);
  /// Waits until no target could send an event for \p Duration.
  void waitUntilHeldUp(Milliseconds Duration);
  /// The target that runs most requests.
  int busiest();
  /// Targets in the entry's log line about those that serve.
  bool serves(const std::string &Entry, int Targets);

  /// The lines of the entry's log that say that the request was cut.
  std::vector<CutLine> cutLines(const std::string &Entry,
                                const std::string &Id);
  /// Waits \p Within for the line that says why the request was cut, and checks
  /// that it is the only one and names \p Cause.
  void checkCutOnce(const std::string &Entry, const std::string &Id,
                    const std::string &Cause,
                    Milliseconds Within = Milliseconds(2000));

  const StartedAnswersSetup Setup;
  Cluster Run;

private:
  std::uint16_t readyPort(const std::string &Entry);
  void startEntry(const std::string &Entry);
  bool allKnown();
  /// The most requests that arrived at targets within a window of the limit on
  /// retries, and had arrived at one before.
  std::size_t mostRepeats();

  std::atomic<int> Version{0};
  int StreamCount = 0;
  /// Ends before the cluster does.
  std::jthread Publisher;
};

} // namespace waycove::test
