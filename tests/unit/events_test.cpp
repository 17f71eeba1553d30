// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// The log's limit: which lines are dropped first.
#include "base/events.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/make_shared.hpp>
#include <catch2/catch.hpp>
#include <sstream>
#include <string>

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

} // namespace waycove::test
