// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "support/started_answers_fixture.h"

#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <csignal>
#include <deque>
#include <set>
#include <sstream>
#include <utility>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

/// Offset from a node's peer port to its readiness port.
constexpr int ReadyPorts = 10;
constexpr milliseconds BetweenVersions(200);
/// From the start of a run at its target until its caller has events.
constexpr milliseconds FirstEventsTime(300);
/// A stop of targets that is no silence yet, and two events later.
constexpr milliseconds ShortStop(150);
constexpr int EventsInStep = 2;

std::string streamRoute(const std::string &Name, unsigned MaxAttempts,
                        bool Resumable, milliseconds Timeout) {
  return R"({"name":")" + Name + R"(","path_prefix":"/)" + Name +
         R"(/","host":"a.example","type":"streaming","service":"llm",)"
         R"("goal_ms":300,"gap_target_ms":200,"priority":1,"timeout_ms":)" +
         std::to_string(Timeout.count()) + R"(,"max_attempts":)" +
         std::to_string(MaxAttempts) + R"(,"resumable":)" +
         (Resumable ? "true}" : "false}");
}

std::string configOf(int Version, const StartedAnswersSetup &Setup) {
  milliseconds Timeout = Setup.RouteTimeout;
  return R"({"version":)" + std::to_string(Version) + R"(,"routes":[)" +
         streamRoute("chat", StartedAnswersFixture::MaxAttempts, true,
                     Timeout) +
         "," + streamRoute("twice", 2, true, Timeout) + "," +
         streamRoute("single", StartedAnswersFixture::MaxAttempts, false,
                     Timeout) +
         R"(],"services":[{"name":"llm","max_conns":400,"engine":{"slots":)" +
         std::to_string(Setup.Slots) +
         R"(,"retains":1,"loads_per_s":50,"models":[{"name":"model",)"
         R"("size":1,"share":1,"pace":1,"load_s":0.1,"warm_s":0.05}]}}],)"
         R"("tenants":[{"name":"w1","api_keys":["key-1"]}]})";
}

} // namespace

StartedAnswersFixture::StartedAnswersFixture(const StartedAnswersSetup &Setup)
    : Setup(Setup) {
  this->Run.addVms("e", Setup.Targets, "a", "d");
  for (int I = 1; I <= Setup.Entries; ++I)
    this->Run.addNode(entryName(I), "a");
  this->Run.TargetFlags = {
      "--token_ms=" + std::to_string(Setup.TokenTime.count()), "--load_ms=50",
      "--slots=" + std::to_string(Setup.Slots),
      "--registry=127.0.0.1:" + std::to_string(this->Run.platformPort())};
  this->Run.startPlatform();
  this->publish();
  for (int I = 1; I <= Setup.Targets; ++I)
    this->Run.startVm(targetName(I));
  for (int I = 1; I <= Setup.Entries; ++I)
    this->startEntry(entryName(I));
  for (int I = 1; I <= Setup.Entries; ++I)
    REQUIRE(eventually(
        [&] { return this->serves(entryName(I), this->Setup.Targets); }));
  REQUIRE(eventually([&] { return this->allKnown(); }));
}

std::uint16_t StartedAnswersFixture::readyPort(const std::string &Entry) {
  return static_cast<std::uint16_t>(this->Run.peerPort(Entry) + ReadyPorts);
}

void StartedAnswersFixture::startEntry(const std::string &Entry) {
  std::ostringstream Settings;
  Settings << "entry: {ready: '127.0.0.1:" << this->readyPort(Entry)
           << "', first_start: true, grace_ms: "
           << this->Setup.GracePeriod.count()
           << ", retry_slack: " << this->Setup.RetrySlack
           << ", retry_ratio: " << this->Setup.RetryRatio
           << ", retry_window_ms: " << this->Setup.RetryWindow.count() << "}";
  this->Run.ExtraSettings = Settings.str();
  this->Run.startNode(Entry);
}

bool StartedAnswersFixture::serves(const std::string &Entry, int Targets) {
  std::string Log = this->Run.logOf(Entry);
  std::size_t At = Log.rfind("\"serving_changed\"");
  return At != std::string::npos &&
         Log.find("\"targets\":" + std::to_string(Targets) + ",", At) !=
             std::string::npos &&
         http(this->readyPort(Entry), {.Path = "/api/ready"}).Status == 200;
}

/// Whether every entry knows all others, among which limits are divided.
bool StartedAnswersFixture::allKnown() {
  for (int I = 1; I <= this->Setup.Entries; ++I)
    for (int J = 1; J <= this->Setup.Entries; ++J)
      if (I != J && this->Run.logOf(entryName(I))
                            .find("\"peer_joined\",\"node\":\"" + entryName(I) +
                                  "\",\"subject\":\"" + entryName(J)) ==
                        std::string::npos)
        return false;
  return true;
}

void StartedAnswersFixture::publish() {
  this->Run.atPlatform({"POST",
                        "/store/put?topic=keyed.op&key=config",
                        configOf(++this->Version, this->Setup),
                        {}});
}

void StartedAnswersFixture::publishInSeries() {
  this->Publisher = std::jthread([this](const std::stop_token &Stop) {
    while (!Stop.stop_requested()) {
      this->publish();
      std::this_thread::sleep_for(BetweenVersions);
    }
  });
}

HttpRequest
StartedAnswersFixture::requestOf(const std::string &Path, const std::string &Id,
                                 std::optional<Milliseconds> Timeout) const {
  return {
      "POST",
      Path,
      "body of " + (this->Setup.IsContentShared ? "all" : Id),
      {{"Host", "a.example"},
       {"Authorization", "Bearer key-1"},
       {"X-Request-Id", Id},
       {"X-Model", "model"},
       {"X-Token-Count", "100,50"},
       {"X-Deadline-Ms",
        std::to_string(Timeout.value_or(this->Setup.RouteTimeout).count())}},
      this->Setup.RouteTimeout + Milliseconds(2000)};
}

StartedAnswersFixture::Streams
StartedAnswersFixture::sendStreams(int Count, const std::string &Path) {
  Streams Sent;
  for (int I = 0; I < Count; ++I) {
    std::string Id = "s" + std::to_string(++this->StreamCount);
    std::string Entry = entryName(I % this->Setup.Entries + 1);
    Sent.push_back(std::async(std::launch::async, [this, Path, Id, Entry] {
      return EndedStream{Id, Entry,
                         this->Run.ask(Entry, this->requestOf(Path, Id))};
    }));
  }
  return Sent;
}

StartedAnswersFixture::Streams
StartedAnswersFixture::startStreams(int Count, const std::string &Path) {
  Streams Started = this->sendStreams(Count, Path);
  REQUIRE(eventually([&] {
    return this->running(1, this->Setup.Targets) ==
           static_cast<std::uint64_t>(Count);
  }));
  std::this_thread::sleep_for(FirstEventsTime);
  return Started;
}

void StartedAnswersFixture::checkAllWhole(Streams &Started) {
  const std::size_t Count = Started.size();
  std::size_t Whole = 0;
  /// By cause and reason, or the status of a response that is no stream.
  std::map<std::string, int> Others;
  for (auto &Stream : Started) {
    EndedStream End = Stream.get();
    if (End.isWhole()) {
      ++Whole;
      continue;
    }
    if (End.Response.Status != 200) {
      ++Others["status " + std::to_string(End.Response.Status)];
      continue;
    }
    std::vector<CutLine> Lines = this->cutLines(End.Entry, End.Id);
    ++Others[std::to_string(Lines.size()) + " lines, " +
             (Lines.empty() ? ""
                            : "cause '" + Lines[0].Cause + "', reason '" +
                                  Lines[0].Reason + "'")];
  }
  std::string Summary;
  for (const auto &[How, Number] : Others)
    Summary += "\n  " + std::to_string(Number) + ": " + How;
  INFO("not whole: " << Count - Whole << " of " << Count << Summary);
  CHECK(Whole == Count);
  CHECK(static_cast<double>(this->mostRepeats()) <=
        this->Setup.RetrySlack +
            this->Setup.RetryRatio * static_cast<double>(Count));
}

std::size_t StartedAnswersFixture::mostRepeats() {
  // Arrivals as the targets log them: "got ID MS STATED".
  std::multimap<std::uint64_t, std::string> Arrivals;
  for (int I = 1; I <= this->Setup.Targets; ++I) {
    std::istringstream Lines(this->Run.logOf(targetName(I)));
    std::string Id;
    std::uint64_t At = 0;
    for (std::string Word; Lines >> Word;)
      if (Word == "got" && Lines >> Id >> At)
        Arrivals.emplace(At, Id);
  }
  std::set<std::string> Seen;
  std::deque<std::uint64_t> Repeats;
  std::size_t Most = 0;
  for (const auto &[At, Id] : Arrivals) {
    if (Seen.insert(Id).second)
      continue;
    Repeats.push_back(At);
    while (Repeats.front() +
               static_cast<std::uint64_t>(this->Setup.RetryWindow.count()) <=
           At)
      Repeats.pop_front();
    Most = std::max(Most, Repeats.size());
  }
  return Most;
}

Poco::Net::StreamSocket
StartedAnswersFixture::send(const HttpRequest &Request) {
  Poco::Net::StreamSocket Socket(
      Poco::Net::SocketAddress("127.0.0.1", this->Run.httpPort(entryName(1))));
  Socket.setReceiveTimeout(Poco::Timespan(Request.Timeout.count() * 1000));
  std::string Text =
      Request.Method + " " + Request.Path +
      " HTTP/1.1\r\nContent-Length: " + std::to_string(Request.Body.size()) +
      "\r\n";
  for (const auto &[Name, Value] : Request.Headers)
    Text.append(Name).append(": ").append(Value).append("\r\n");
  Text += "\r\n" + Request.Body;
  Socket.sendBytes(Text.data(), static_cast<int>(Text.size()));
  return Socket;
}

void StartedAnswersFixture::signalTargets(int First, int Last, int Number) {
  for (int I = First; I <= Last; ++I)
    this->Run.vm(targetName(I)).signal(Number);
}

void StartedAnswersFixture::signalEntries(int Number) {
  for (int I = 1; I <= this->Setup.Entries; ++I)
    this->Run.node(entryName(I)).signal(Number);
}

void StartedAnswersFixture::bringIntoStep() {
  this->signalTargets(1, this->Setup.Targets, SIGSTOP);
  std::this_thread::sleep_for(ShortStop);
  this->signalTargets(1, this->Setup.Targets, SIGCONT);
  std::this_thread::sleep_for(EventsInStep * this->Setup.TokenTime);
}

void StartedAnswersFixture::faultTargets(int First, int Last,
                                         const std::string &Json) {
  for (int I = First; I <= Last; ++I)
    this->Run.vmFault(targetName(I), Json);
}

std::uint64_t StartedAnswersFixture::running(int First, int Last) {
  std::uint64_t Sum = 0;
  for (int I = First; I <= Last; ++I)
    Sum += this->Run.atVm(targetName(I), {.Path = "/runs"}).number("running");
  return Sum;
}

std::uint64_t StartedAnswersFixture::events(int First, int Last) {
  std::uint64_t Sum = 0;
  for (int I = First; I <= Last; ++I)
    Sum += this->Run.atVm(targetName(I), {.Path = "/runs"}).number("events");
  return Sum;
}

void StartedAnswersFixture::waitUntilHeldUp(Milliseconds Duration) {
  std::uint64_t Sent = 0;
  auto Since = std::chrono::steady_clock::now();
  REQUIRE(eventually([&] {
    std::uint64_t Now = this->events(1, this->Setup.Targets);
    if (std::exchange(Sent, Now) != Now)
      Since = std::chrono::steady_clock::now();
    return std::chrono::steady_clock::now() - Since >= Duration;
  }));
}

int StartedAnswersFixture::busiest() {
  int Busiest = 1;
  std::uint64_t Most = 0;
  for (int I = 1; I <= this->Setup.Targets; ++I)
    if (std::uint64_t Running = this->running(I, I); Running > Most) {
      Most = Running;
      Busiest = I;
    }
  return Busiest;
}

std::vector<CutLine> StartedAnswersFixture::cutLines(const std::string &Entry,
                                                     const std::string &Id) {
  std::vector<CutLine> Found;
  std::istringstream Lines(this->Run.logOf(Entry));
  for (std::string Line; std::getline(Lines, Line);) {
    if (Line.find("\"request_cut\"") == std::string::npos)
      continue;
    if (auto Row = parseJson(Line); Row.ok() && textAt(*Row, "subject") == Id)
      Found.push_back({textAt(*Row, "cause"), textAt(*Row, "reason")});
  }
  return Found;
}

void StartedAnswersFixture::checkCutOnce(const std::string &Entry,
                                         const std::string &Id,
                                         const std::string &Cause,
                                         Milliseconds Within) {
  eventually([&] { return !this->cutLines(Entry, Id).empty(); }, Within);
  std::vector<CutLine> Lines = this->cutLines(Entry, Id);
  INFO(Id << " at " << Entry << ": " << Lines.size() << " lines, expected '"
          << Cause << "'");
  CHECK(Lines.size() == 1);
  if (!Lines.empty()) {
    INFO("reason '" << Lines[0].Reason << "'");
    CHECK(Lines[0].Cause == Cause);
  }
}

} // namespace waycove::test
