// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "support/cluster.h"

#include <catch2/catch.hpp>

namespace waycove::test {

/// One data centre, two daemons, groups of two VMs, and two service VMs.
struct SmallCluster {
  SmallCluster() {
    this->Run.addVms("d1", 3, "a", "d1");
    this->Run.addVms("d2", 2, "a", "d2");
    this->Run.addVms("s", 2, "a", "s", "ledger");
    this->Run.addNode("n1", "a");
    this->Run.addNode("n2", "a");
    this->Run.start();
    publishUsual(this->Run, "n1", "a: 2");
  }
  Cluster Run;
};

TEST_CASE_METHOD(SmallCluster,
                 "path: one model request: whole answer from any daemon",
                 "[process]") {
  for (const char *Node : {"n1", "n2"}) {
    REQUIRE(eventually([&] { return this->Run.serving(Node) == 2; }));
    Reply Answer = this->Run.generate(Node, 10);
    CHECK(Answer.Status == 200);
    CHECK(Answer.text("text") == wholeText(10));
    Reply Streamed = this->Run.generate(Node, 10, true);
    CHECK(streamedIndexes(Streamed.Body).size() == 10);
    CHECK(Streamed.Body.find("event: done") != std::string::npos);
    CHECK_FALSE(Streamed.Cut);
  }
}

TEST_CASE_METHOD(SmallCluster,
                 "path: one service call: passed through with its answer",
                 "[process]") {
  std::string Key = freshKey("sale");
  REQUIRE(eventually(
      [&] { return this->Run.callService("n1", "").Status == 200; }));
  Reply Answer = this->Run.callService("n1", Key);
  CHECK(Answer.Status == 200);
  CHECK(Answer.text("path") == "/sale");
  CHECK(Answer.text("body") == "ack");
  CHECK(this->Run.callsOf(Key) == 1);
}

} // namespace waycove::test
