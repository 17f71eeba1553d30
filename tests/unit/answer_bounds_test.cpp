// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// What tells an answer from bytes that are none, and what is logged of it.
#include "control/over_bounds.h"
#include "net/framing.h"
#include "net/head.h"
#include "policy/answer_progress.h"
#include "support/entry_settings.h"

#include <catch2/catch.hpp>

namespace waycove::test {

namespace {

constexpr Millis Patience(600);

TimePoint at(int Ms) {
  return TimePoint() + std::chrono::hours(1) + Millis(Ms);
}

Millis timeBetween(TimePoint From, TimePoint Until) {
  return std::chrono::duration_cast<Millis>(Until - From);
}

/// Feeds \p Part up to \p Times; returns how often until the body was refused.
int feedUntilMalformed(BodyDecoder &Body, const std::string &Part, int Times) {
  std::string Payload;
  for (int I = 0; I < Times; ++I) {
    std::string Input = Part;
    Body.feed(Input, Payload);
    if (Body.isMalformed())
      return I;
  }
  return Times;
}

} // namespace

// Guards against trailer lines and extensions that are read without end.
TEST_CASE("chunked body: framing without end: refused", "[unit]") {
  constexpr int Many = 100'000;
  BodyDecoder Trailer(Framing::Chunked, 0);
  std::string Whole = "2\r\nok\r\n0\r\n";
  std::string Payload;
  Trailer.feed(Whole, Payload);
  CHECK(feedUntilMalformed(Trailer, "X-More: aaaa\r\n", Many) < 10'000);
  BodyDecoder Extension(Framing::Chunked, 0);
  CHECK(feedUntilMalformed(Extension,
                           "1;x=" + std::string(900, 'a') + "\r\na\r\n",
                           Many) < 100);
}

// Guards against a bound that refuses sound bodies.
TEST_CASE("chunked body: many small chunks and a trailer: whole", "[unit]") {
  constexpr int Chunks = 200'000;
  BodyDecoder Body(Framing::Chunked, 0);
  CHECK(feedUntilMalformed(Body, "001\r\na\r\n", Chunks) == Chunks);
  std::string End = "0\r\nX-Sum: 1\r\n\r\n";
  std::string Payload;
  Body.feed(End, Payload);
  CHECK(Body.isDone());
}

// Guards against interim responses that are read without end.
TEST_CASE("response heads: interim ones without end: no response", "[unit]") {
  ResponseHeadReader Heads;
  std::optional<Poco::Net::HTTPResponse> Head;
  auto Result = ResponseHeadReader::Result::Incomplete;
  int Count = 0;
  for (; Result == ResponseHeadReader::Result::Incomplete && Count < 100'000;
       ++Count) {
    std::string Bytes = "HTTP/1.1 103 Early Hints\r\n\r\n";
    Result = Heads.take(Bytes, Head);
  }
  CHECK(Result == ResponseHeadReader::Result::Invalid);
  CHECK(Count < 3000);
}

TEST_CASE("response heads: some interim ones: the final one is taken",
          "[unit]") {
  ResponseHeadReader Heads;
  std::optional<Poco::Net::HTTPResponse> Head;
  std::string Bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n"
                      "Link: a\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\nbody";
  REQUIRE(Heads.take(Bytes, Head) == ResponseHeadReader::Result::Complete);
  CHECK(Head->getStatus() == 200);
  CHECK(Bytes == "body");
}

// Guards against a target that is never silent and never answers.
TEST_CASE("answer progress: bytes come that are no answer: told after the "
          "patience for one",
          "[unit]") {
  AnswerProgress Answer(at(0));
  for (int Ms = 20; Ms < 620; Ms += 20) {
    Answer.onBytes(at(Ms));
    CHECK_FALSE(Answer.isNoAnswer(Patience, timeBetween));
  }
  Answer.onBytes(at(620));
  CHECK(Answer.isNoAnswer(Patience, timeBetween));
}

// Guards against ending an answer that is only late, or that moves on.
TEST_CASE("answer progress: a late head in two parts, and one that moves on: "
          "an answer",
          "[unit]") {
  AnswerProgress Answer(at(0));
  Answer.onBytes(at(2000));
  Answer.onBytes(at(2050));
  CHECK_FALSE(Answer.isNoAnswer(Patience, timeBetween));
  for (int Ms = 2100; Ms < 5000; Ms += 100) {
    Answer.onBytes(at(Ms));
    Answer.onProgress();
    CHECK_FALSE(Answer.isNoAnswer(Patience, timeBetween));
    CHECK(Answer.lastAt() == at(Ms));
  }
}

// Guards against a node's own standstill that is taken for its target's bytes.
TEST_CASE("answer progress: this node stood still between two reads: an answer",
          "[unit]") {
  AnswerProgress Answer(at(0));
  Answer.onBytes(at(10));
  Answer.onBytes(at(3000));
  CHECK_FALSE(Answer.isNoAnswer(
      Patience, [](TimePoint, TimePoint) { return Millis(20); }));
}

// Guards against a log that fills with one target's trouble.
TEST_CASE("answers over bounds: many: each is counted, one is logged, the "
          "target is avoided",
          "[unit]") {
  EntryBoard Board(entrySettings(), IncarnationId("i"));
  VmIncarnation Target{VmId("a"), {}};
  for (int I = 0; I < 5; ++I)
    reportOverBounds(Board, Target, "r", "no answer");
  CHECK(Board.Counters.get(Counter::AnswersOverBounds) == 5);
  CHECK_FALSE(Board.OverBoundsLines.isDue(SystemClock{}.now()));
  CHECK(Board.TargetStats.read([&](const TargetStatsTable &Stats) {
    return Stats.isSuspect(Target, SystemClock{}.now());
  }));
}

} // namespace waycove::test
