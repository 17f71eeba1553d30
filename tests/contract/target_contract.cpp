// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Engines and plain services as the daemon sees them, with the stand-in.
#include "edge/target.h"
#include "support/cluster.h"

#include <catch2/catch.hpp>
#include <csignal>

namespace waycove::test {

struct TargetFixture {
  TargetFixture() {
    this->Run.TargetFlags = {"--token_ms=2", "--load_ms=0"};
    this->Run.addVms("v", 1, "a", "d");
    this->Run.startPlatform();
    this->Run.startVm("v-1");
    this->At = {"127.0.0.1", this->Run.vmPort("v-1")};
    this->Config.ConnectTimeout = Millis(300);
  }

  EngineOrder order(std::uint64_t Group) const {
    return {this->At, Fence(Group), "m", "m", "v", 0, {this->At.text()}};
  }
  EngineCall call(std::uint64_t Tokens) const {
    EngineCall Call;
    Call.Address = this->At;
    Call.Request = RequestId("r1");
    Call.Group = Fence(5);
    Call.Prompt = "p";
    Call.MaxTokens = Tokens;
    Call.Stall = Millis(500);
    Call.Deadline = SystemClock{}.now() + std::chrono::seconds(5);
    return Call;
  }

  Cluster Run;
  Settings Config;
  Metrics Counters;
  VmAddress At;
};

TEST_CASE_METHOD(TargetFixture,
                 "engine orders: newer fence obeyed, older refused, reported",
                 "[contract]") {
  HttpEngineControl Control(this->Config, this->Counters);
  CHECK(Control.order(this->order(5)).ok());
  CHECK(Control.order(this->order(5)).ok());
  CHECK_FALSE(Control.order(this->order(4)).ok());
  auto Report = Control.report(this->At);
  REQUIRE(Report.ok());
  CHECK(Report->Group == Fence(5));
  CHECK(Report->Loaded);
  CHECK_FALSE(Report->Leaving);
  this->Run.vmFault("v-1", R"({"leaving":"yes"})");
  CHECK(Control.report(this->At)->Leaving);
  this->Run.vmFault("v-1", R"({"state":"stall"})");
  CHECK_FALSE(Control.report(this->At).ok());
  this->Run.killVm("v-1");
  CHECK_FALSE(Control.report(this->At).ok());
  CHECK_FALSE(Control.order(this->order(6)).ok());
}

struct GenerateCase {
  const char *Fault;
  AttemptOutcome End;
  std::uint64_t Tokens;
};

TEST_CASE_METHOD(TargetFixture,
                 "engine generate: each fault: its end, and no stray token",
                 "[contract]") {
  HttpEngineControl Control(this->Config, this->Counters);
  REQUIRE(Control.order(this->order(5)).ok());
  HttpEngine Engine(this->Config);
  for (const GenerateCase &Row :
       {GenerateCase{R"({"generate":"ok"})", AttemptOutcome::Done, 8},
        GenerateCase{R"({"generate":"cross"})", AttemptOutcome::Done, 8},
        GenerateCase{R"({"generate":"die_after","after":3})",
                     AttemptOutcome::Broken, 3},
        GenerateCase{R"({"generate":"stall","after":2})",
                     AttemptOutcome::Stalled, 2},
        GenerateCase{R"({"generate":"refuse"})", AttemptOutcome::Refused, 0},
        GenerateCase{R"({"generate":"reset"})", AttemptOutcome::Broken, 0}}) {
    INFO(Row.Fault);
    this->Run.vmFault("v-1", Row.Fault);
    std::uint64_t Seen = 0;
    EngineDone Done;
    AttemptOutcome End = Engine.generate(
        this->call(8),
        [&](const EngineToken &Token) {
          CHECK(Token.Request == RequestId("r1"));
          CHECK(Token.Group == Fence(5));
          CHECK(Token.Members == 1);
          CHECK(Token.Index == Seen++);
          return TokenVerdict::Accept;
        },
        Done);
    CHECK(End == Row.End);
    CHECK(Seen == Row.Tokens);
  }
  this->Run.vmFault("v-1", R"({"generate":"ok"})");
  // The receiver ends the stream by returning false.
  EngineDone Done;
  auto Leave = [](const EngineToken &) { return TokenVerdict::CallerGone; };
  CHECK(Engine.generate(this->call(8), Leave, Done) ==
        AttemptOutcome::CallerGone);
  // A resumed stream starts at the given token index.
  EngineCall Rest = this->call(8);
  Rest.ResumeFrom = 6;
  std::uint64_t First = 99;
  auto Note = [&](const EngineToken &Token) {
    First = std::min(First, Token.Index);
    return TokenVerdict::Accept;
  };
  CHECK(Engine.generate(Rest, Note, Done) == AttemptOutcome::Done);
  CHECK(First == 6);
  this->Run.killVm("v-1");
  CHECK(Engine.generate(this->call(8), Leave, Done) == AttemptOutcome::NotSent);
}

struct ServiceCase {
  const char *Fault;
  AttemptOutcome End;
};

TEST_CASE_METHOD(TargetFixture, "service call: each fault: its end",
                 "[contract]") {
  HttpPlainService Plain(this->Config, this->Counters);
  for (const ServiceCase &Row :
       {ServiceCase{R"({"service":"ok"})", AttemptOutcome::Done},
        ServiceCase{R"({"service":"busy"})", AttemptOutcome::Refused},
        ServiceCase{R"({"service":"reset"})", AttemptOutcome::Broken},
        ServiceCase{R"({"service":"drop_before"})", AttemptOutcome::Broken},
        ServiceCase{R"({"service":"slow"})", AttemptOutcome::Broken},
        ServiceCase{R"({"service":"crossed"})", AttemptOutcome::Broken},
        ServiceCase{R"({"service":"cut_chunks"})", AttemptOutcome::Broken},
        ServiceCase{R"({"service":"chunks"})", AttemptOutcome::Done}}) {
    INFO(Row.Fault);
    this->Run.vmFault("v-1", Row.Fault);
    PlainCall Call;
    Call.Address = this->At;
    Call.Request = RequestId("r2");
    Call.Http = {"POST", "/x", "body", "text/plain", {}};
    Call.Timeout = Millis(300);
    HttpReply Reply;
    CHECK(Plain.call(Call, Reply) == Row.End);
  }
}

} // namespace waycove::test
