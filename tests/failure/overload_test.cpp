// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Entries whose targets have fewer slots than there are requests: the order of
// waiting requests, truthful refusals, and places of failed entries or targets.
#include "support/bounded_slots_fixture.h"

#include <Poco/Net/StreamSocket.h>
#include <csignal>
#include <numeric>

namespace waycove::test {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Within this time other entries use the places of a failed one.
constexpr milliseconds TakeOverTime(3000);

// Guards against queues at the targets, and late requests that pass each other.
TEST_CASE_METHOD(BoundedSlotsFixture,
                 "overload: more requests than slots: they wait at the entry, "
                 "late ones are served in order of arrival",
                 "[failure]") {
  // The last is late, too, when the first end and free their places.
  Pending Calls = this->sendMany(32, milliseconds(10));
  CHECK(this->checkAll(Calls) >= 2 * AllSlots);
  CHECK(this->sum("rejected") == 0);
  for (const char *Vm : {"p-1", "p-2"}) {
    CHECK(this->countAt(Vm, "peak") <= MaxAtTarget);
    unsigned long Latest = 0;
    // Requests that get places at the same time arrive in any order.
    for (const std::string &Id : this->logged("ran", Vm)) {
      CHECK(std::stoul(Id) + AllSlots > Latest);
      Latest = std::max(Latest, std::stoul(Id));
    }
  }
}

// Guards against targets that work for callers that have left.
TEST_CASE_METHOD(BoundedSlotsFixture,
                 "overload: a caller leaves while its request waits: it "
                 "reaches no target",
                 "[failure]") {
  Pending Calls = this->sendMany(16, milliseconds(10));
  const std::string Bytes =
      "POST /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: gone\r\n"
      "Authorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n";
  {
    Poco::Net::StreamSocket Socket(
        Poco::Net::SocketAddress("127.0.0.1", this->Run.httpPort("n1")));
    Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    std::this_thread::sleep_for(milliseconds(150));
  }
  CHECK(this->checkAll(Calls) == 16);
  CHECK(this->call("n1", "last").Status == 200);
  CHECK(this->countOf("got", "gone") == 0);
  CHECK(this->hasLogged("n1", "the caller left while it was queued"));
}

// Guards against an entry that stops without answering waiting requests.
TEST_CASE_METHOD(BoundedSlotsFixture,
                 "overload: SIGTERM while requests wait: each is served, or "
                 "refused and never run",
                 "[failure]") {
  Pending Calls = this->sendMany(48, milliseconds(5));
  this->Run.node("n1").signal(SIGTERM);
  CHECK(this->checkAll(Calls) >= AllSlots);
  CHECK(this->Run.node("n1").wait(milliseconds(6000)) == 0);
  CHECK(this->hasLogged("n1", "\"stopping\""));
}

// Guards against callers that wait until their deadline for a refusal.
TEST_CASE_METHOD(BoundedSlotsFixture,
                 "overload: a request cannot be served by its deadline: "
                 "refused at once with when to come back, never run",
                 "[failure]") {
  Pending Calls = this->sendMany(32, milliseconds(10));
  auto Begin = Clock::now();
  Reply Refused = this->call("n1", "short", 400);
  CHECK(Clock::now() - Begin < milliseconds(200));
  REQUIRE(Refused.Status == 429);
  CHECK(std::stod(Refused.RetryAfter) <= 0.134);
  CHECK(this->checkAll(Calls) >= 2 * AllSlots);
  CHECK(this->countOf("got", "short") == 0);
}

// Guards against a dead target's requests that overfill the other or are lost.
TEST_CASE_METHOD(BoundedSlotsFixture,
                 "overload: a target dies with requests in flight: the others' "
                 "callers are served",
                 "[failure]") {
  // A request that arrives after the death may be refused, since the predicted
  // wait is long then.
  std::size_t Before = this->arrivals();
  Pending Calls = this->sendMany(16, milliseconds(10));
  REQUIRE(eventually(
      [&] { return this->arrivals() + this->waitingAt("n1") >= Before + 16; }));
  this->Run.killVm("p-1");
  REQUIRE(this->logged("ran", "p-1").size() > 1);
  CHECK(this->checkAll(Calls) == 16);
  CHECK(this->countAt("p-2", "rejected") == 0);
}

/// Three entries under more load than the targets can serve.
struct ThreeEntriesFixture : BoundedSlotsFixture {
  ThreeEntriesFixture() : BoundedSlotsFixture(3) {
    for (int I = 0; I < 36; ++I)
      this->Callers.emplace_back([this, I](const std::stop_token &Stop) {
        for (int N = 0; !Stop.stop_requested(); ++N)
          this->callOnce(I, N);
      });
    // Until the entries know of each other's load.
    std::this_thread::sleep_for(TakeOverTime);
    for (std::uint64_t Present : this->sample("present"))
      CHECK(Present <= 2 * MaxAtTarget);
  }
  ~ThreeEntriesFixture() {
    for (std::jthread &Caller : this->Callers)
      Caller.request_stop();
  }
  void callOnce(int Caller, int Number) {
    std::string Id = std::to_string(Caller) + "-" + std::to_string(Number);
    std::string Node = "n" + std::to_string(Caller % 3 + 1);
    bool Served = this->call(Node, Id, 3000).Status == 200;
    this->ServedByOthers += Served && Node != "n1" ? 1 : 0;
    if (!Served)
      std::this_thread::sleep_for(milliseconds(50));
  }
  /// Samples a count over both targets for 1.4 s, two rounds at least of
  /// requests.
  std::vector<std::uint64_t> sample(const std::string &Field) {
    std::vector<std::uint64_t> Samples;
    while (Samples.size() < 70) {
      Samples.push_back(this->sum(Field));
      std::this_thread::sleep_for(milliseconds(20));
    }
    return Samples;
  }
  /// Checks that the other entries use the places of n1.
  void checkTakenOver() {
    std::this_thread::sleep_for(TakeOverTime);
    unsigned ServedBefore = this->ServedByOthers;
    std::vector<std::uint64_t> Running = this->sample("running");
    CHECK(std::accumulate(Running.begin(), Running.end(), std::uint64_t{0}) >=
          Running.size() * AllSlots * 3 / 4);
    CHECK(this->ServedByOthers - ServedBefore >= AllSlots);
    CHECK(this->sum("rejected") == 0);
  }

  std::atomic<unsigned> ServedByOthers{0};
  std::vector<std::jthread> Callers;
};

// Guards against places that stay unused after the entry that held them died.
TEST_CASE_METHOD(ThreeEntriesFixture,
                 "overload: an entry with places and waiting requests is "
                 "killed: the others use the places",
                 "[failure]") {
  this->Run.killNode("n1");
  this->checkTakenOver();
}

// Guards against places that a frozen entry keeps while its process exists.
TEST_CASE_METHOD(ThreeEntriesFixture,
                 "overload: an entry with places and waiting requests is "
                 "frozen: the others use the places",
                 "[failure]") {
  this->Run.node("n1").signal(SIGSTOP);
  this->checkTakenOver();
  this->Run.node("n1").signal(SIGCONT);
}

} // namespace waycove::test
