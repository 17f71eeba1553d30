// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// The log's limit: which lines are dropped first.
#include "base/events.h"
#include "base/json.h"

#include <array>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/make_shared.hpp>
#include <catch2/catch.hpp>
#include <iostream>
#include <sstream>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace waycove::test {

namespace {

/// More than the log takes at once.
constexpr int Flood = 5000;

} // namespace

struct EventsFixture {
  using Sink = boost::log::sinks::synchronous_sink<
      boost::log::sinks::text_ostream_backend>;

  EventsFixture() {
    this->Lines = boost::make_shared<Sink>();
    this->Lines->locked_backend()->add_stream(this->Text);
    this->Lines->set_formatter(boost::log::expressions::stream
                               << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(this->Lines);
  }
  ~EventsFixture() { boost::log::core::get()->remove_sink(this->Lines); }

  void emitMany(EventCode Code) {
    for (int I = 0; I < Flood; ++I)
      this->Log.emit(Code, "many");
  }
  /// Number of lines of \p Code.
  int count(EventCode Code) {
    this->Lines->flush();
    std::istringstream All(this->Text->str());
    std::string Name = "\"name\":\"" + std::string(infoFor(Code).Name) + "\"";
    int Found = 0;
    for (std::string Line; std::getline(All, Line);)
      Found += Line.find(Name) != std::string::npos ? 1 : 0;
    return Found;
  }

  boost::shared_ptr<std::ostringstream> Text =
      boost::make_shared<std::ostringstream>();
  boost::shared_ptr<Sink> Lines;
  HybridClock Clock;
  Events Log{NodeId("n1"), Clock};
};

// Guards against an answer that was cut and has no line in the log, since lines
// of whole answers had used up the limit.
TEST_CASE_METHOD(EventsFixture,
                 "events: lines of information use up the limit: warnings and "
                 "cut answers are logged",
                 "[unit]") {
  this->emitMany(EventCode::RequestDone);
  for (int I = 0; I < 200; ++I) {
    this->Log.emit(EventCode::TargetSuspected, "t");
    this->Log.emit(EventCode::RequestCut, "r");
  }
  CHECK(this->count(EventCode::RequestDone) >= 1000);
  CHECK(this->count(EventCode::RequestDone) < Flood);
  CHECK(this->count(EventCode::TargetSuspected) == 200);
  CHECK(this->count(EventCode::RequestCut) == 200);
  CHECK(this->count(EventCode::LogLinesDropped) >= 1);
}

// Guards against an answer that was cut and has no line in the log, since lines
// of retries had used up the limit.
TEST_CASE_METHOD(EventsFixture,
                 "events: warnings use up the limit: cut answers, errors and "
                 "the stop are logged",
                 "[unit]") {
  this->emitMany(EventCode::RequestRetried);
  for (int I = 0; I < 300; ++I)
    this->Log.emit(EventCode::RequestCut, "r");
  this->Log.emit(EventCode::ConfigRefused, "c");
  this->Log.emit(EventCode::DaemonStopped, "n1");
  CHECK(this->count(EventCode::RequestRetried) < Flood);
  CHECK(this->count(EventCode::RequestCut) == 300);
  CHECK(this->count(EventCode::ConfigRefused) == 1);
  CHECK(this->count(EventCode::DaemonStopped) == 1);
}

// Guards against a log without bound.
TEST_CASE_METHOD(EventsFixture,
                 "events: cut answers use up the limit: the rest is counted",
                 "[unit]") {
  this->emitMany(EventCode::RequestCut);
  CHECK(this->count(EventCode::RequestCut) < Flood);
}

// Guards against lines that are missing, and that nobody counts, since the
// log's reader was too slow.
TEST_CASE("events: the log's reader stands still: all lines are written or "
          "counted",
          "[unit]") {
  constexpr int Emitted = 2600;
  std::array<int, 2> Pipe{};
  REQUIRE(pipe(Pipe.data()) == 0);
  // What the child inherits is not its own.
  std::cout << std::flush;
  pid_t Child = fork();
  REQUIRE(Child >= 0);
  if (Child == 0) {
    dup2(Pipe[1], STDOUT_FILENO);
    close(Pipe[0]);
    initLogging(Severity::Info);
    HybridClock Clock;
    Events Log(NodeId("n1"), Clock);
    // The limit allows more lines again while the queue is full.
    for (int I = 0; I < Emitted; ++I) {
      if (I % 100 == 0)
        std::this_thread::sleep_for(Millis(100));
      Log.emit(EventCode::RequestCut, "r");
    }
    std::this_thread::sleep_for(Millis(1500));
    Log.emit(EventCode::DaemonStopped, "n1");
    stopLogging();
    _exit(0);
  }
  close(Pipe[1]);
  std::this_thread::sleep_for(Millis(3500));
  std::string Output;
  std::array<char, 4096> Block{};
  ssize_t Read = 0;
  while ((Read = read(Pipe[0], Block.data(), Block.size())) > 0)
    Output.append(Block.data(), static_cast<std::size_t>(Read));
  close(Pipe[0]);
  waitpid(Child, nullptr, 0);
  std::istringstream All(Output);
  std::uint64_t Written = 0;
  std::uint64_t Dropped = 0;
  for (std::string Line; std::getline(All, Line);) {
    auto Row = parseJson(Line);
    INFO(Line);
    REQUIRE(Row.ok());
    Written += textAt(*Row, "name") == "request_cut" ? 1 : 0;
    Dropped += numberAt(*Row, "lines");
  }
  CHECK(Written < Emitted);
  CHECK(Written + Dropped == Emitted);
}

} // namespace waycove::test
