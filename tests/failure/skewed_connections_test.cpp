// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Most new connections come to one entry, while the others are idle and callers
// open connections more often.
#include "support/bounded_slots_fixture.h"

#include <Poco/Net/StreamSocket.h>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

/// Within this time the entries know where the requests come.
constexpr milliseconds LearnTime(3000);
/// Uses four fifths of the targets' slots.
constexpr milliseconds BetweenRequests(78);

} // namespace

struct SkewFixture : BoundedSlotsFixture {
  SkewFixture() : BoundedSlotsFixture(3) {}

  /// Sends requests to the nodes in turn for \p Duration, each on a connection
  /// of its own. Returns the fraction that was served.
  double servedFraction(const std::vector<std::string> &Nodes,
                        milliseconds Duration) {
    Pending Calls;
    auto Until = std::chrono::steady_clock::now() + Duration;
    while (std::chrono::steady_clock::now() < Until) {
      const std::string &Node = Nodes[Calls.size() % Nodes.size()];
      std::string Id = std::to_string(++this->Next);
      Calls.push_back(std::async(std::launch::async, [this, Node, Id] {
        return this->call(Node, Id, 3000);
      }));
      std::this_thread::sleep_for(BetweenRequests);
    }
    int Served = 0;
    for (auto &Call : Calls)
      Served += Call.get().Status == 200 ? 1 : 0;
    return Served / static_cast<double>(Calls.size());
  }

  int Next = 100;
};

// Guards against an entry that reads more than its part of the places serves,
// while the parts of the others lie idle.
TEST_CASE_METHOD(SkewFixture,
                 "skewed connections: all come to one of three entries: its "
                 "requests are served as before",
                 "[failure]") {
  double Before = this->servedFraction({"n1", "n2", "n3"}, milliseconds(4000));
  this->servedFraction({"n1"}, LearnTime);
  double Skewed = this->servedFraction({"n1"}, milliseconds(4000));
  this->servedFraction({"n2"}, LearnTime);
  double Moved = this->servedFraction({"n2"}, milliseconds(2000));
  CAPTURE(Before, Skewed, Moved);
  CHECK(Before >= 0.9);
  CHECK(Skewed >= 0.75 * Before);
  CHECK(Moved >= 0.75 * Before);
}

// Guards against an entry whose idle connections and accept queue keep it from
// reading new requests.
TEST_CASE_METHOD(SkewFixture,
                 "skewed connections: hundreds of idle ones at one entry: new "
                 "requests there are read and served",
                 "[failure]") {
  constexpr int IdleCount = 800;
  std::vector<Poco::Net::StreamSocket> Idle;
  Idle.reserve(IdleCount);
  for (int I = 0; I < IdleCount; ++I)
    Idle.emplace_back(
        Poco::Net::SocketAddress("127.0.0.1", this->Run.httpPort("n1")));
  CHECK(this->servedFraction({"n1"}, milliseconds(3000)) >= 0.75);
}

} // namespace waycove::test
