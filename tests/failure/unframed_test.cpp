// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Responses of targets without a length or chunks, which end with their
// connection: a whole one must reach the caller whole, and a broken one must
// not look complete.
#include "support/entry_fixture.h"

namespace waycove::test {

// Guards against taking the end of the connection for a failure.
TEST_CASE_METHOD(EntryFixture,
                 "unframed response: it ends with its connection: the caller "
                 "gets it whole, and it is run once",
                 "[failure]") {
  this->faultAll("p", 2, "unframed");
  for (int I = 0; I < 6; ++I) {
    std::string Id = "r" + std::to_string(I);
    Reply Whole = this->call("/once/x", Id);
    CHECK(Whole.Status == 200);
    CHECK(Whole.Body == "ran " + Id + " for w1 body");
    CHECK_FALSE(Whole.Cut);
  }
  CHECK(this->plainRuns() == 6);
}

// Guards against telling a response as whole of which the end is missing.
TEST_CASE_METHOD(EntryFixture,
                 "unframed response: its connection is reset: it is not told "
                 "as whole",
                 "[failure]") {
  this->faultAll("p", 2, "unframed_reset");
  CHECK(this->call("/once/x", "r1").Status == 502);
  CHECK(this->call("/safe/x", "r2").Status == 502);
  this->Run.vmFault("p-1", R"({"call":"ok"})");
  for (int I = 3; I < 9; ++I)
    CHECK(this->call("/safe/x", "r" + std::to_string(I)).Status == 200);
}

// Guards against a stream that is cut at its end, or kept waiting.
TEST_CASE_METHOD(EntryFixture,
                 "unframed stream: it ends with its connection: the caller "
                 "gets it whole",
                 "[failure]") {
  this->faultAll("e", 4, "unframed");
  for (int I = 0; I < 3; ++I) {
    Reply Stream = this->call("/chat/x", "r" + std::to_string(I));
    CHECK(Stream.Status == 200);
    CHECK(Stream.Body == wholeStream());
    CHECK_FALSE(Stream.Cut);
  }
}

// Guards against a stream that breaks off inside an event and is told as
// complete, or of which half an event is passed on.
TEST_CASE_METHOD(EntryFixture,
                 "unframed stream: it ends inside an event: resumed elsewhere, "
                 "or visibly cut",
                 "[failure]") {
  SECTION("one group breaks off") {
    this->Run.vmFault("e-1", R"({"call":"unframed_cut"})");
    this->Run.vmFault("e-2", R"({"call":"unframed_cut"})");
    for (int I = 0; I < 6; ++I) {
      Reply Stream = this->call("/chat/x", "r" + std::to_string(I));
      CHECK(Stream.Status == 200);
      CHECK(Stream.Body == wholeStream());
      CHECK_FALSE(Stream.Cut);
    }
  }
  SECTION("all break off") {
    this->faultAll("e", 4, "unframed_cut");
    Reply Stream = this->call("/chat/x", "r1");
    CHECK(Stream.Cut);
    CHECK(Stream.Body.ends_with("\n\n"));
    CHECK(wholeStream().starts_with(Stream.Body));
  }
}

} // namespace waycove::test
