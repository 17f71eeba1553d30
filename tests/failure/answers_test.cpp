// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// A caller receives the whole response to its own request or can see that it is
// incomplete.
#include "support/cluster.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <future>

namespace waycove::test {

/// One daemon before two groups of two VMs.
struct TwoGroups {
  TwoGroups() {
    this->Run.ExtraSettings = "token_stall_ms: 600";
    this->Run.addVms("d1", 2, "a", "d1");
    this->Run.addVms("d2", 2, "a", "d2");
    this->Run.addNode("n1", "a");
    this->Run.start();
    publishUsual(this->Run, "n1", "a: 2");
    REQUIRE(eventually([&] { return this->Run.serving("n1") == 2; }));
  }

  /// Heads of the groups, which respond to requests.
  std::vector<std::string> heads() {
    std::vector<std::string> Found;
    auto Groups = this->Run.status("n1")->getArray("groups");
    for (unsigned I = 0; I < Groups->size(); ++I)
      Found.push_back(
          Groups->getObject(I)->getArray("vms")->getElement<std::string>(0));
    return Found;
  }

  Cluster Run;
};

struct EngineFault {
  const char *Name;
  const char *Fault;
};

const std::vector<EngineFault> EngineFaults{
    {"dies after 5 tokens", R"({"generate":"die_after","after":5})"},
    {"dies before the first token", R"({"generate":"die_after","after":0})"},
    {"stalls after 3 tokens", R"({"generate":"stall","after":3})"},
    {"skips a token", R"({"generate":"gap","after":4})"},
    {"repeats tokens", R"({"generate":"repeat"})"},
    {"answers another request between", R"({"generate":"cross"})"},
    {"answers for another group", R"({"generate":"wrong_group"})"},
    {"answers with a member missing", R"({"generate":"partial"})"},
    {"refuses", R"({"generate":"refuse"})"},
    {"resets", R"({"generate":"reset"})"},
};

TEST_CASE_METHOD(TwoGroups,
                 "answers: one engine is faulty: every answer is whole, no "
                 "token lost or doubled",
                 "[process]") {
  for (const EngineFault &Fault : EngineFaults) {
    INFO(Fault.Name);
    std::string Faulty = this->heads()[0];
    this->Run.vmFault(Faulty, R"({"generate":"ok"})");
    this->Run.vmFault(Faulty, Fault.Fault);
    auto RequestCount = [&] {
      return this->Run.atVm(Faulty, {.Path = "/counts"}).number("generates");
    };
    // Sessions spread over both groups: repeat until the faulty engine got a
    // streamed and a whole request.
    std::uint64_t Streams = 0;
    std::uint64_t Wholes = 0;
    for (int I = 0; I < 40 && (Streams < 1 || Wholes < 1); ++I) {
      std::uint64_t Before = RequestCount();
      std::map<std::string, std::string> Headers{
          {"X-Waycove-Session", Fault.Name + std::to_string(I)}};
      Reply Response = this->Run.generate("n1", 12, I % 2 == 0, Headers);
      INFO(Response.Status << " " << Response.Body);
      REQUIRE(Response.Status == 200);
      CHECK_FALSE(Response.Cut);
      (I % 2 == 0 ? Streams : Wholes) += RequestCount() - Before;
      if (I % 2 == 1) {
        CHECK(Response.text("text") == wholeText(12));
        continue;
      }
      std::vector<std::uint64_t> Seen = streamedIndexes(Response.Body);
      REQUIRE(Seen.size() == 12);
      for (std::uint64_t T = 0; T < 12; ++T)
        CHECK(Seen[T] == T);
      CHECK(Response.Body.find("event: done") != std::string::npos);
      CHECK(Response.Body.find("stray") == std::string::npos);
    }
    this->Run.vmFault(Faulty, R"({"generate":"ok"})");
    CHECK(Streams >= 1);
    CHECK(Wholes >= 1);
  }
}

TEST_CASE_METHOD(TwoGroups,
                 "answers: all engines die in the stream: the caller sees the "
                 "cut",
                 "[process]") {
  for (const std::string &Head : this->heads())
    this->Run.vmFault(Head, R"({"generate":"die_after","after":3})");
  Reply Response = this->Run.generate("n1", 50, true);
  CHECK(Response.Status == 200);
  CHECK(Response.Cut);
  CHECK(Response.Body.find("event: done") == std::string::npos);
  CHECK(Response.Body.find("event: error") != std::string::npos);
  Reply Whole = this->Run.generate("n1", 50, false);
  CHECK(Whole.Status >= 500);
  CHECK(Whole.error("ran") != "no");
}

TEST_CASE_METHOD(TwoGroups,
                 "answers: a member's process is killed in the stream: resumed "
                 "at the other group",
                 "[process]") {
  std::string Session = "s";
  auto Headers = std::map<std::string, std::string>{
      {"X-Waycove-Session", Session}, {"X-Waycove-Deadline-Ms", "20000"}};
  auto Call = std::async(std::launch::async, [&] {
    return this->Run.generate("n1", 200, true, Headers);
  });
  std::string Running;
  REQUIRE(eventually([&] {
    for (const std::string &Head : this->heads())
      if (this->Run.atVm(Head, {.Path = "/counts"}).number("running") == 1)
        Running = Head;
    return !Running.empty();
  }));
  this->Run.killVm(Running);
  Reply Response = Call.get();
  CHECK_FALSE(Response.Cut);
  std::vector<std::uint64_t> Seen = streamedIndexes(Response.Body);
  REQUIRE(Seen.size() == 200);
  for (std::uint64_t T = 0; T < 200; ++T)
    CHECK(Seen[T] == T);
  // Retried instead of resumed if it was killed before the first token.
  CHECK(this->Run.counter("n1", "resumes") +
            this->Run.counter("n1", "retries") ==
        1);
}

TEST_CASE_METHOD(TwoGroups,
                 "answers: many callers with the same request id: each gets "
                 "its own workspace's",
                 "[process]") {
  std::vector<std::future<Reply>> Calls;
  Calls.reserve(16);
  for (int I = 0; I < 16; ++I)
    Calls.push_back(std::async(std::launch::async, [this, I] {
      return this->Run.generate("n1", 10 + I, I % 2 == 0,
                                {{"X-Request-Id", "same"}},
                                I % 2 ? "w1-key" : "w2-key");
    }));
  for (int I = 0; I < 16; ++I) {
    Reply Response = Calls[static_cast<std::size_t>(I)].get();
    std::size_t Count = 10 + static_cast<std::size_t>(I);
    if (I % 2 == 0)
      CHECK(streamedIndexes(Response.Body).size() == Count);
    else
      CHECK(Response.text("text") == wholeText(10 + I));
  }
}

TEST_CASE_METHOD(TwoGroups, "answers: the caller leaves: the engine is told",
                 "[process]") {
  HttpRequest Request{"POST",
                      "/v1/models/model/generate",
                      R"({"prompt":"p","max_tokens":2000,"stream":true})",
                      {{"Authorization", "Bearer w1-key"}},
                      std::chrono::milliseconds(200)};
  Reply Cut = this->Run.ask("n1", Request);
  CHECK(Cut.Cut);
  CHECK(eventually([&] {
    std::uint64_t Sum = 0;
    for (const std::string &Head : this->heads())
      Sum += this->Run.atVm(Head, {.Path = "/counts"}).number("cancelled");
    return Sum >= 1;
  }));
}

} // namespace waycove::test
