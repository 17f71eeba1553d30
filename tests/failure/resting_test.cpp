// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Guards against requests to a target that asked for rest, or that stated that
// it leaves.
#include "support/entry_fixture.h"

#include <optional>
#include <sstream>
#include <thread>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds Rest(3000);
/// Requests that were under way when the target asked for rest.
constexpr milliseconds UnderWay(500);
/// Requests to a resting target after that.
constexpr std::size_t MaxWhileResting = 2;
/// Refusing needs no target.
constexpr milliseconds RefusedAtOnce(500);

/// A request as its target logged it.
struct Arrival {
  std::string Id;
  /// Unix milliseconds.
  std::uint64_t At = 0;
  std::string Stated;
};

std::uint64_t nowMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

} // namespace

/// One entry with two plain targets.
struct StatementFixture : EntryFixture {
  std::vector<Arrival> arrivals(const std::string &Vm) {
    std::vector<Arrival> Rows;
    std::istringstream Lines(this->Run.logOf(Vm));
    Arrival Row;
    for (std::string Word; Lines >> Word;)
      if (Word == "got" && Lines >> Row.Id >> Row.At >> Row.Stated)
        Rows.push_back(Row);
    return Rows;
  }
  /// Requests at \p Vm from \p After until \p Until after it first stated
  /// \p What.
  std::size_t arrivedAfter(const std::string &Vm, const std::string &What,
                           milliseconds After, milliseconds Until) {
    std::optional<std::uint64_t> Since;
    std::size_t Count = 0;
    for (const Arrival &Row : this->arrivals(Vm)) {
      if (!Since && Row.Stated == What)
        Since = Row.At;
      if (!Since)
        continue;
      milliseconds Later(static_cast<std::int64_t>(Row.At - *Since));
      Count += Later > After && Later < Until ? 1 : 0;
    }
    return Count;
  }
  /// When \p Vm first asked for rest, in Unix milliseconds.
  std::uint64_t firstStated(const std::string &Vm) {
    for (const Arrival &Row : this->arrivals(Vm))
      if (Row.Stated != "-")
        return Row.At;
    FAIL("it asked for no rest");
    return 0;
  }
  /// Calls for \p Duration; returns the number of requests served.
  int callFor(milliseconds Duration) {
    auto End = std::chrono::steady_clock::now() + Duration;
    int Served = 0;
    while (std::chrono::steady_clock::now() < End) {
      Served += this->call("/safe/x", this->nextId()).Status == 200 ? 1 : 0;
      std::this_thread::sleep_for(milliseconds(10));
    }
    return Served;
  }
  std::string nextId() { return "c" + std::to_string(++this->Count); }
  /// Expects that requests are refused at once, as not run; returns the last
  /// Retry-After in seconds.
  double expectRefused() {
    Reply Response;
    for (int I = 0; I < 5; ++I) {
      auto Begin = std::chrono::steady_clock::now();
      Response = this->call("/safe/x", this->nextId());
      CHECK(Response.Status == 503);
      CHECK(std::chrono::steady_clock::now() - Begin < RefusedAtOnce);
    }
    return std::stod("0" + Response.RetryAfter);
  }
  int Count = 0;
};

// Guards against a target that is sent to again as soon as it looks idle.
TEST_CASE_METHOD(StatementFixture,
                 "resting target: it turned a request away and asked for rest: "
                 "the entry leaves it alone until the end",
                 "[failure]") {
  this->Run.vmFault("p-1", R"({"call":"busy","rest":"3"})");
  CHECK(this->callFor(Rest) > 50);
  CHECK(this->arrivedAfter("p-1", "rest=3", UnderWay, Rest) <= MaxWhileResting);
  // Afterwards it is asked again.
  this->callFor(milliseconds(1500));
  CHECK(this->arrivedAfter("p-1", "rest=3", Rest, 3 * Rest) > 0);
}

// Guards against requests to resting targets because no other one is left, and
// against callers that do not hear when to come back.
TEST_CASE_METHOD(StatementFixture,
                 "resting target: all rest: requests are refused at once, with "
                 "the time that is left",
                 "[failure]") {
  this->faultAll("p", 2, R"(busy","rest":"3)");
  this->callFor(milliseconds(700));
  double RetryAfter = this->expectRefused();
  std::uint64_t Now = nowMs();
  std::uint64_t AskedAt =
      std::min(this->firstStated("p-1"), this->firstStated("p-2"));
  double Left = 3 - static_cast<double>(Now - AskedAt) / 1000;
  CHECK(RetryAfter > Left - 0.3);
  CHECK(RetryAfter < Left + 0.3);
  for (const char *Vm : {"p-1", "p-2"})
    CHECK(this->arrivedAfter(Vm, "rest=3", UnderWay, Rest) <= MaxWhileResting);
}

// Guards against requests to a target whose leaving the registry does not show.
TEST_CASE_METHOD(StatementFixture,
                 "leaving target: it says so in its answers: the entry sends "
                 "it nothing more, also where no other one is left",
                 "[failure]") {
  this->Run.vmFault("p-1", R"({"leaving":"yes"})");
  CHECK(this->callFor(milliseconds(1500)) > 50);
  CHECK(this->arrivedAfter("p-1", "leaving", UnderWay, milliseconds(60000)) ==
        0);
  this->Run.vmFault("p-2", R"({"leaving":"yes"})");
  this->callFor(milliseconds(500));
  this->expectRefused();
  CHECK(this->arrivedAfter("p-2", "leaving", UnderWay, milliseconds(60000)) ==
        0);
}

} // namespace waycove::test
