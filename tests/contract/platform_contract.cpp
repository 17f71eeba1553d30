// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// The platform's log and VM list as clients see them, with the stand-in.
#include "edge/platform.h"
#include "support/cluster.h"

#include <catch2/catch.hpp>
#include <csignal>

namespace waycove::test {

struct PlatformFixture {
  PlatformFixture() {
    this->Run.addVms("v", 2, "a", "d");
    this->Run.startPlatform();
    this->Config.Platform = {"127.0.0.1", this->Run.platformPort()};
    this->Config.ConnectTimeout = Millis(300);
  }
  Cluster Run;
  Settings Config;
  Metrics Counters;
};

TEST_CASE_METHOD(PlatformFixture,
                 "log: appends and reads: offsets in order, bytes unchanged",
                 "[contract]") {
  HttpLog Log(this->Config, this->Counters);
  std::string Bytes("\0\xff binary \n", 11);
  CHECK(*Log.append(LogStream::Records, Bytes) == Offset(0));
  CHECK(*Log.append(LogStream::Records, "two") == Offset(1));
  CHECK(*Log.append(LogStream::Checkpoints, "c") == Offset(0));
  auto Page = Log.read(LogStream::Records, Offset(0), 10, Millis(0));
  REQUIRE(Page.ok());
  CHECK(Page->Next == Offset(2));
  REQUIRE(Page->Records.size() == 2);
  CHECK(Page->Records[0].Bytes == Bytes);
  CHECK(
      Log.read(LogStream::Records, Offset(1), 10, Millis(0))->Records.size() ==
      1);
  CHECK(Log.read(LogStream::Records, Offset(0), 1, Millis(0))->Records.size() ==
        1);
  this->Run.atPlatform({"POST", "/log/records/trim?first=1"});
  CHECK(Log.read(LogStream::Records, Offset(0), 9, Millis(0))->First ==
        Offset(1));
}

struct LogFault {
  const char *Fault;
  /// Expected error of an append.
  ErrorKind Append;
  /// Expected number of records in the log afterwards.
  std::uint64_t Records;
};

TEST_CASE_METHOD(PlatformFixture,
                 "log: each fault: the error says whether it may be written",
                 "[contract]") {
  for (const LogFault &Case :
       {LogFault{R"({"append":"refuse"})", ErrorKind::OutcomeUnknown, 0},
        LogFault{R"({"append":"stall"})", ErrorKind::OutcomeUnknown, 0},
        LogFault{R"({"append":"lose_ack"})", ErrorKind::OutcomeUnknown, 1}}) {
    INFO(Case.Fault);
    this->Run.platformFault(Case.Fault);
    HttpLog Log(this->Config, this->Counters);
    auto At = Log.append(LogStream::Records, "x");
    REQUIRE_FALSE(At.ok());
    CHECK(kindOf(At.status()) == Case.Append);
    CHECK(this->Run.atPlatform({.Path = "/stats"}).number("next") ==
          Case.Records);
  }
  this->Run.platform().signal(SIGKILL);
  this->Run.platform().wait(std::chrono::seconds(5));
  HttpLog Log(this->Config, this->Counters);
  auto At = Log.append(LogStream::Records, "x");
  REQUIRE_FALSE(At.ok());
  // Nobody listens, so the record was certainly not written.
  CHECK(kindOf(At.status()) == ErrorKind::LogUnavailable);
  CHECK_FALSE(Log.read(LogStream::Records, Offset(0), 1, Millis(0)).ok());
}

TEST_CASE_METHOD(PlatformFixture,
                 "VM list: whole first, then changes; faults are errors",
                 "[contract]") {
  HttpVmList List(this->Config, this->Counters);
  auto Page = List.list(DataCentreId("a"), 0);
  REQUIRE(Page.ok());
  CHECK(Page->Whole);
  REQUIRE(Page->Vms.size() == 2);
  CHECK(Page->Vms[0].Domain == DomainId("d"));
  CHECK(*Page->Vms[0].OwnLabels.find("role") == "engine");
  CHECK(List.list(DataCentreId("a"), Page->Version)->Vms.empty());
  CHECK(List.list(DataCentreId("elsewhere"), 0)->Vms.empty());
  this->Run.atPlatform(
      {"POST", "/vms/state", R"({"vm":"v-1","state":"leaving"})"});
  auto Leaving = List.list(DataCentreId("a"), Page->Version);
  REQUIRE(Leaving->Vms.size() == 1);
  CHECK(Leaving->Vms[0].ListedLeaving);
  this->Run.atPlatform(
      {"POST", "/vms/state", R"({"vm":"v-1","state":"gone"})"});
  auto Gone = List.list(DataCentreId("a"), Leaving->Version);
  CHECK(Gone->Vms.empty());
  CHECK(Gone->Removed == std::vector<VmId>{VmId("v-1")});
  this->Run.platformFault(R"({"list":"refuse"})");
  CHECK_FALSE(List.list(DataCentreId("a"), 0).ok());
}

} // namespace waycove::test
