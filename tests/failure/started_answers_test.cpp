// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// An answer that an entry has started reaches its caller whole, as long as its
// target would still finish it or another can go on: a standstill of the entry
// is no silence of the target, and a running attempt is not given up before
// another one is certain. What is cut says why in the log.
#include "support/started_answers_fixture.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

/// Longer than a target may be silent within a stream.
constexpr milliseconds TargetStandstill(1600);
/// Of entries and targets that stand still at the same moment: the entries go
/// on first.
constexpr milliseconds EntryStandstill(1200);
constexpr milliseconds TargetsLater(300);

} // namespace

struct StandstillFixture : StartedAnswersFixture {
  StandstillFixture() : StartedAnswersFixture(StartedAnswersSetup{}) {}

  static constexpr int Count = 200;
  /// Targets that stand still.
  static constexpr int Still = 6;
};

// Guards against streams that are given up for another target together, more
// of them than there are retries, although their own targets go on.
TEST_CASE_METHOD(StandstillFixture,
                 "started answers: targets stand still for longer than a "
                 "target may be silent, and go on: every stream ends whole",
                 "[failure]") {
  this->publishInSeries();
  Streams Started = this->startStreams(Count);
  this->bringIntoStep();
  this->signalTargets(1, Still, SIGSTOP);
  std::this_thread::sleep_for(TargetStandstill);
  this->signalTargets(1, Still, SIGCONT);
  this->checkAllWhole(Started);
}

// Guards against an entry that takes the time for which it stood still itself
// for silence of its targets, and gives up many streams as soon as it goes on.
TEST_CASE_METHOD(StandstillFixture,
                 "started answers: entries and targets stand still at the same "
                 "moment: every stream ends whole",
                 "[failure]") {
  this->publishInSeries();
  Streams Started = this->startStreams(Count);
  this->signalEntries(SIGSTOP);
  this->signalTargets(1, Still, SIGSTOP);
  std::this_thread::sleep_for(EntryStandstill);
  this->signalEntries(SIGCONT);
  std::this_thread::sleep_for(TargetsLater);
  this->signalTargets(1, Still, SIGCONT);
  this->checkAllWhole(Started);
}

// Guards against the same where all targets have gone on meanwhile.
TEST_CASE_METHOD(StandstillFixture,
                 "started answers: entries stand still and their targets go "
                 "on: every stream ends whole",
                 "[failure]") {
  this->publishInSeries();
  Streams Started = this->startStreams(Count);
  this->signalEntries(SIGSTOP);
  std::this_thread::sleep_for(TargetStandstill);
  this->signalEntries(SIGCONT);
  this->checkAllWhole(Started);
}

// Guards against streams that are cut, or go elsewhere, when operators evacuate
// the data centre of their targets, which takes no new requests then.
TEST_CASE_METHOD(
    StandstillFixture,
    "started answers: their data centre is evacuated: every stream "
    "ends whole",
    "[failure]") {
  this->publishInSeries();
  Streams Started = this->startStreams(Count);
  this->Run.atPlatform(
      {"POST", "/store/put?topic=keyed.op&key=evacuate/a", "{}", {}});
  REQUIRE(eventually([&] {
    return this->Run.ask("n1", this->requestOf("/chat/x", "after")).Status ==
           503;
  }));
  this->checkAllWhole(Started);
}

/// Few retries at a time, and more of them each second: eight of each entry. If
/// an entry loses most of its 60 streams, its last one goes on some seven
/// seconds later, and needs three more.
struct FewRetriesFixture : StartedAnswersFixture {
  explicit FewRetriesFixture(int Targets = 4)
      : StartedAnswersFixture({.Targets = Targets,
                               .TokenTime = milliseconds(75),
                               .RetryWindow = milliseconds(1000),
                               .RouteTimeout = milliseconds(12000)}) {}
};

/// Several targets end at once.
struct TargetsEndFixture : FewRetriesFixture {
  TargetsEndFixture() : FewRetriesFixture(8) {}
};

// Guards against streams that are blamed, since they are sent to one target
// after the other that ends at the same time.
TEST_CASE_METHOD(TargetsEndFixture,
                 "started answers: targets end and the retries are used up: "
                 "each stream goes on at another target later",
                 "[failure]") {
  constexpr int Killed = 3;
  this->publishInSeries();
  Streams Started = this->startStreams(120);
  // The requests themselves earn no retries any more.
  std::this_thread::sleep_for(this->Setup.RetryWindow);
  for (int I = 1; I <= Killed; ++I)
    this->Run.killVm(targetName(I));
  this->checkAllWhole(Started);
}

// Guards against streams that are cut because no retry is left at the moment
// at which their target ends, although others serve and time is left.
TEST_CASE_METHOD(FewRetriesFixture,
                 "started answers: a target ends and the retries are used up: "
                 "each stream goes on at another target later",
                 "[failure]") {
  this->publishInSeries();
  Streams Started = this->startStreams(120);
  // The requests themselves earn no retries any more.
  std::this_thread::sleep_for(this->Setup.RetryWindow);
  this->Run.killVm(targetName(this->busiest()));
  this->checkAllWhole(Started);
}

/// One entry with eight retries for the whole test. One of its targets has
/// ended, and is still listed.
struct ExactRetriesFixture : StartedAnswersFixture {
  ExactRetriesFixture()
      : StartedAnswersFixture({.Entries = 1,
                               .Targets = 4,
                               .TokenTime = milliseconds(150),
                               .RetrySlack = 10,
                               .RetryRatio = 0,
                               .RouteTimeout = milliseconds(15000)}) {
    this->Run.killVm(targetName(this->Setup.Targets));
  }
  /// Of the targets that run, the one with the fewest requests.
  int idlest() {
    int Least = 1;
    for (int I = 2; I < this->Setup.Targets; ++I)
      if (this->running(I, I) < this->running(Least, Least))
        Least = I;
    return Least;
  }
};

// Guards against streams that keep the retry of an attempt which reached no
// target while they wait for another one, so that none is left for any.
TEST_CASE_METHOD(ExactRetriesFixture,
                 "started answers: their next target refuses connections: each "
                 "stream goes on with the retry that this one did not use",
                 "[failure]") {
  // After a refused connection a target is avoided for three seconds.
  constexpr milliseconds AvoidedTime(3300);
  Streams Started = this->sendStreams(24);
  REQUIRE(eventually([&] { return this->running(1, 3) == Started.size(); }));
  std::this_thread::sleep_for(AvoidedTime);
  int Ending = this->idlest();
  REQUIRE(this->running(Ending, Ending) > 0);
  REQUIRE(this->serves("n1", this->Setup.Targets));
  this->Run.killVm(targetName(Ending));
  this->checkAllWhole(Started);
}

/// Streams of one content, and more retries than streams.
struct SharedContentFixture : StartedAnswersFixture {
  SharedContentFixture()
      : StartedAnswersFixture({.TokenTime = milliseconds(60),
                               .RetrySlack = 1000,
                               .RouteTimeout = milliseconds(12000),
                               .IsContentShared = true}) {}
};

// Guards against streams that are cut as culprits because targets that end
// together all ran their content, although those at other targets clear it.
TEST_CASE_METHOD(SharedContentFixture,
                 "started answers: three targets end under one content: its "
                 "streams go on when others with it are whole",
                 "[failure]") {
  constexpr int Killed = 3;
  constexpr std::size_t Count = 48;
  // The others are whole within the two seconds for which a blamed one waits.
  constexpr std::uint64_t MostEvents = Count * StreamEvents * 3 / 4;
  Streams Started = this->startStreams(Count);
  REQUIRE(eventually(
      [&] { return this->events(1, this->Setup.Targets) >= MostEvents; }));
  REQUIRE(this->running(1, 1) > 0);
  REQUIRE(this->running(Killed, Killed) > 0);
  for (int I = 1; I <= Killed; ++I)
    this->Run.killVm(targetName(I));
  this->checkAllWhole(Started);
}

/// Routes of two attempts, and more retries than streams.
struct TwoAttemptsFixture : StartedAnswersFixture {
  TwoAttemptsFixture()
      : StartedAnswersFixture({.Entries = 1,
                               .Targets = 4,
                               .TokenTime = milliseconds(75),
                               .RetrySlack = 1000}) {}
};

// Guards against streams whose attempts are used up by a silent target and one
// that ended, although a third one could go on.
TEST_CASE_METHOD(TwoAttemptsFixture,
                 "started answers: a target is silent and the next one ends: "
                 "each stream of two attempts goes on at a third",
                 "[failure]") {
  Streams Started = this->startStreams(24, "/twice/x");
  std::uint64_t Others = this->running(2, 4);
  std::uint64_t Silent = this->running(1, 1);
  REQUIRE(Silent > 0);
  this->signalTargets(1, 1, SIGSTOP);
  REQUIRE(eventually([&] { return this->running(2, 4) == Others + Silent; }));
  std::this_thread::sleep_for(milliseconds(300));
  this->Run.killVm(targetName(2));
  this->Run.atPlatform(
      {"POST", "/store/put?topic=keyed.servers&key=" + targetName(2), "", {}});
  this->checkAllWhole(Started);
}

/// One entry with more retries than streams. One of its targets ends, the
/// busiest; the others are spared.
struct NoTargetFixture : StartedAnswersFixture {
  NoTargetFixture()
      : StartedAnswersFixture({.Entries = 1,
                               .Targets = 4,
                               .TokenTime = milliseconds(75),
                               .RetrySlack = 1000}),
        Started(this->startStreams(24)), Ending(this->busiest()) {
    for (int I = 1; I <= this->Setup.Targets; ++I)
      if (I != this->Ending)
        this->Others.push_back(I);
  }
  void endTarget() {
    REQUIRE(this->running(this->Ending, this->Ending) > 0);
    this->Run.killVm(targetName(this->Ending));
  }
  void faultOthers(const std::string &Json) {
    for (int I : this->Others)
      this->faultTargets(I, I, Json);
  }
  /// Whether the entry knows that all others rest.
  bool othersRest() {
    std::string Log = this->Run.logOf("n1");
    return std::all_of(this->Others.begin(), this->Others.end(), [&](int I) {
      return Log.find("\"target_rests\",\"node\":\"n1\",\"subject\":\"" +
                      targetName(I) + "\"") != std::string::npos;
    });
  }

  Streams Started;
  const int Ending;
  std::vector<int> Others;
};

// Guards against streams that are cut when all other targets rest for a second.
TEST_CASE_METHOD(NoTargetFixture,
                 "started answers: a target ends while all others rest: its "
                 "streams go on when they take requests again",
                 "[failure]") {
  this->faultOthers(R"({"call":"busy","rest":"1"})");
  this->endTarget();
  CHECK(eventually([&] { return this->othersRest(); }, milliseconds(2000)));
  this->faultOthers(R"({"call":"ok"})");
  this->checkAllWhole(this->Started);
}

// Guards against streams that are cut when the others are full for a second,
// and turn requests away without saying for how long.
TEST_CASE_METHOD(NoTargetFixture,
                 "started answers: a target ends while all others are full: "
                 "its streams go on when one has a slot",
                 "[failure]") {
  this->faultOthers(R"({"call":"busy","rest":""})");
  this->endTarget();
  std::this_thread::sleep_for(milliseconds(1000));
  this->faultOthers(R"({"call":"ok"})");
  this->checkAllWhole(this->Started);
}

// Guards against streams that are cut when the registry lists no other target
// for a second.
TEST_CASE_METHOD(NoTargetFixture,
                 "started answers: a target ends while no other is listed: its "
                 "streams go on when one is",
                 "[failure]") {
  for (int I : this->Others)
    this->Run.atPlatform({"POST",
                          "/store/put?topic=keyed.servers&key=" + targetName(I),
                          "",
                          {}});
  REQUIRE(
      eventually([&] { return this->serves("n1", 1); }, milliseconds(2000)));
  this->endTarget();
  std::this_thread::sleep_for(milliseconds(1000));
  for (int I : this->Others)
    this->Run.atVm(targetName(I), {"POST", "/publish", "", {}});
  this->checkAllWhole(this->Started);
}

/// One entry before targets with few slots.
struct FewSlotsFixture : StartedAnswersFixture {
  FewSlotsFixture()
      : StartedAnswersFixture({.Entries = 1,
                               .Targets = 3,
                               .Slots = 4,
                               .TokenTime = milliseconds(125),
                               .RetrySlack = 1000,
                               .GracePeriod = milliseconds(8000)}) {}
  /// Sends more requests than there are slots, and waits until the entry knows.
  Streams overload() {
    Streams Waiting = this->sendStreams(8);
    REQUIRE(eventually(
        [&] {
          return this->Run.logOf("n1").find("\"pool_overloaded\"") !=
                 std::string::npos;
        },
        milliseconds(1500)));
    return Waiting;
  }
  /// Ends a target while the others turn requests away for a moment.
  void endTarget() {
    REQUIRE(this->running(1, 1) > 0);
    this->faultTargets(2, 3, R"({"call":"busy","rest":""})");
    this->Run.killVm(targetName(1));
    std::this_thread::sleep_for(milliseconds(500));
    this->faultTargets(2, 3, R"({"call":"ok"})");
  }
};

// Guards against streams that are refused a place because they are older than
// the time for which callers wait for a first event.
TEST_CASE_METHOD(FewSlotsFixture,
                 "started answers: a target ends while the others turn "
                 "requests away in an overload: its streams go on when there "
                 "is a place",
                 "[failure]") {
  constexpr milliseconds AgeAtOverload(1800);
  Streams Started = this->startStreams(12);
  std::this_thread::sleep_for(AgeAtOverload);
  Streams Waiting = this->overload();
  this->endTarget();
  this->checkAllWhole(Started);
}

// Guards against streams that are cut because the node takes no new requests
// any more, although its grace goes on.
TEST_CASE_METHOD(FewSlotsFixture,
                 "started answers: a target ends in an overload while the node "
                 "stops: its streams go on within the grace",
                 "[failure]") {
  // The node refuses requests by then.
  constexpr milliseconds AfterSignal(2800);
  Streams Started = this->startStreams(12);
  Streams Waiting = this->overload();
  this->Run.node("n1").signal(SIGTERM);
  std::this_thread::sleep_for(AfterSignal);
  this->endTarget();
  this->checkAllWhole(Started);
  CHECK(this->Run.node("n1").wait(this->Setup.GracePeriod) == 0);
}

/// One entry whose log is read.
struct CutCauseFixture : StartedAnswersFixture {
  CutCauseFixture()
      : StartedAnswersFixture({.Entries = 1,
                               .Targets = 4,
                               .TokenTime = milliseconds(50),
                               .RetrySlack = 1000,
                               .GracePeriod = milliseconds(1500)}) {}
  /// Reads until the caller has the start of a stream.
  static void readStart(Poco::Net::StreamSocket &Caller) {
    std::string Text;
    std::array<char, 4096> Chunk{};
    while (Text.find("id: 1\n") == std::string::npos) {
      int Received = Caller.receiveBytes(Chunk.data(), Chunk.size());
      REQUIRE(Received > 0);
      Text.append(Chunk.data(), static_cast<std::size_t>(Received));
    }
  }
  static void readToEnd(Poco::Net::StreamSocket &Caller) {
    std::vector<char> Chunk(1 << 16);
    try {
      while (Caller.receiveBytes(Chunk.data(), static_cast<int>(Chunk.size())) >
             0)
        ;
    } catch (const Poco::Exception &) {
      // Reset, as a response may be that is cut.
      return;
    }
  }
  /// Sends a request whose stream is cut, and checks the line about it.
  void checkCutFor(const std::string &Cause, const HttpRequest &Request) {
    Reply Response = this->Run.ask("n1", Request);
    CHECK(Response.Status == 200);
    CHECK(Response.Cut);
    this->checkCutOnce("n1", Request.Headers.at("X-Request-Id"), Cause);
  }
};

// Guards against a cut stream whose log does not tell whether its caller left,
// or stopped reading.
TEST_CASE_METHOD(CutCauseFixture,
                 "started answers: a caller leaves, or stops reading until its "
                 "time is over or its target ends: one line says so",
                 "[failure]") {
  {
    Poco::Net::StreamSocket Caller =
        this->send(this->requestOf("/chat/x", "leaves"));
    readStart(Caller);
  }
  this->checkCutOnce("n1", "leaves", "caller_left");

  this->faultTargets(1, 4, R"({"call":"flood"})");
  Poco::Net::StreamSocket Caller =
      this->send(this->requestOf("/chat/x", "never-reads", milliseconds(3000)));
  readStart(Caller);
  this->checkCutOnce("n1", "never-reads", "caller_slow", milliseconds(5000));

  Poco::Net::StreamSocket Later =
      this->send(this->requestOf("/chat/x", "reads-late"));
  readStart(Later);
  this->waitUntilHeldUp(milliseconds(1200));
  for (int I = 1; I <= 4; ++I)
    this->Run.killVm(targetName(I));
  readToEnd(Later);
  this->checkCutOnce("n1", "reads-late", "caller_slow");
}

// Guards against a cut stream whose log does not tell whether it could have
// gone on at another target.
TEST_CASE_METHOD(CutCauseFixture,
                 "started answers: targets break streams off, or the time is "
                 "over: one line says why each was cut",
                 "[failure]") {
  this->checkCutFor("timeout",
                    this->requestOf("/chat/x", "short", milliseconds(700)));
  this->faultTargets(1, 4, R"({"call":"flood"})");
  this->checkCutFor("timeout",
                    this->requestOf("/chat/x", "flooded", milliseconds(500)));
  this->faultTargets(1, 4, R"({"call":"die_after"})");
  this->checkCutFor("not_resumable", this->requestOf("/single/x", "single"));
  this->checkCutFor("attempts_used", this->requestOf("/twice/x", "two"));
  // A third target that ends under it is not followed by the fourth one that
  // the route would allow.
  this->checkCutFor("crashes_targets", this->requestOf("/chat/x", "three"));
}

// Guards against cut streams without a line where the log drops lines.
TEST_CASE_METHOD(CutCauseFixture,
                 "started answers: more lines than the log takes: each stream "
                 "that is cut has its line",
                 "[failure]") {
  constexpr int Callers = 2;
  constexpr int Count = 8;
  // Each request is refused, with a line.
  std::vector<std::jthread> Refused;
  Refused.reserve(Callers);
  for (int I = 0; I < Callers; ++I)
    Refused.emplace_back([this](const std::stop_token &Stop) {
      while (!Stop.stop_requested())
        this->Run.ask("n1", this->requestOf("/none/x", "none"));
    });
  REQUIRE(eventually([&] {
    return this->Run.logOf("n1").find("\"log_lines_dropped\"") !=
           std::string::npos;
  }));
  std::vector<std::future<Reply>> Cut;
  Cut.reserve(Count);
  for (int I = 0; I < Count; ++I)
    Cut.push_back(std::async(std::launch::async, [this, I] {
      return this->Run.ask("n1", this->requestOf("/chat/x",
                                                 "short" + std::to_string(I),
                                                 milliseconds(700)));
    }));
  for (auto &Stream : Cut)
    CHECK(Stream.get().Cut);
  std::this_thread::sleep_for(milliseconds(300));
  for (int I = 0; I < Count; ++I)
    this->checkCutOnce("n1", "short" + std::to_string(I), "timeout",
                       milliseconds(0));
}

// Guards against a process that ends without a word about the streams that end
// with it.
TEST_CASE_METHOD(CutCauseFixture,
                 "started answers: the grace is over while streams run: one "
                 "line says so of each",
                 "[failure]") {
  Streams Started = this->startStreams(8);
  this->Run.node("n1").signal(SIGTERM);
  CHECK(this->Run.node("n1").wait(milliseconds(3000)) > 0);
  for (auto &Stream : Started) {
    EndedStream End = Stream.get();
    CHECK(End.Response.Cut);
    this->checkCutOnce(End.Entry, End.Id, "stopping", milliseconds(0));
  }
}

} // namespace waycove::test
