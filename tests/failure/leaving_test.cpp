// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Guards against requests that are sent to a target later than the drain bound
// after the registry removed it.
#include "support/neighbours.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

/// After this time a removed target must get no new request.
constexpr milliseconds DrainBound(1500);
/// Longer than any time for which a node may retain a removed target.
constexpr milliseconds ObservationTime(4500);
/// Longer than the timeout of any call to the store.
constexpr milliseconds OutageDuration(4000);
/// A run with fewer calls proves nothing.
constexpr int MinCalls = 100;

} // namespace

/// Three entries with three targets of a plain service.
struct LeavingFixture : Neighbours {
  LeavingFixture()
      : Neighbours("revoke_bound_ms: 20000, drain_bound_ms: " +
                       std::to_string(DrainBound.count()) +
                       ", config_bound_ms: 2000",
                   3) {}

  bool hasStoreBack(const std::string &Node) {
    std::string Log = this->Run.logOf(Node);
    auto Last = [&](const std::string &Name) {
      return Log.rfind("\"" + Name + "\",\"node\":\"" + Node +
                       "\",\"subject\":\"registry\"");
    };
    std::size_t Back = Last("log_reachable");
    std::size_t Lost = Last("log_unreachable");
    return Back != std::string::npos && Lost != std::string::npos &&
           Back > Lost;
  }
  /// Removes a target from the registry, calls \p Nodes and returns for how
  /// long requests were still sent to it.
  milliseconds sentAfterDrop(const std::vector<std::string> &Nodes) {
    auto Dropped = std::chrono::steady_clock::now();
    this->dropTarget("p-1");
    REQUIRE(this->callUntil(Nodes, Dropped + ObservationTime) > MinCalls);
    return std::chrono::duration_cast<milliseconds>(this->lastRunAt("p-1") -
                                                    Dropped);
  }
};

TEST_CASE_METHOD(LeavingFixture,
                 "leaving target: the reader alone had lost the store: no node "
                 "keeps it",
                 "[failure]") {
  std::string Reader = this->reader();
  this->Links[Reader]->set(LinkFault::Silent);
  std::this_thread::sleep_for(OutageDuration);
  this->Links[Reader]->set(LinkFault::None);
  REQUIRE(eventually([&] { return this->hasStoreBack(Reader); }));
  CHECK(this->sentAfterDrop(Entries) < DrainBound);
}

TEST_CASE_METHOD(LeavingFixture,
                 "leaving target: a node's connections to the store go silent: "
                 "it asks on new ones",
                 "[failure]") {
  // The only remaining node reads the store for itself.
  std::string Reader = this->reader();
  std::vector<std::string> Others = this->others(Reader);
  this->Run.killNode(Reader);
  this->Run.killNode(Others[1]);
  REQUIRE(eventually([&] { return !this->follows(Others[0]); }));
  // A change ends the current poll, so that a new one has just started.
  std::this_thread::sleep_for(milliseconds(2500));
  this->dropTarget("p-3");
  std::this_thread::sleep_for(milliseconds(500));
  this->Links[Others[0]]->silenceOpen();
  CHECK(this->sentAfterDrop({Others[0]}) < DrainBound);
}

TEST_CASE_METHOD(
    LeavingFixture,
    "leaving target: the reader loses the store for long: it learns "
    "from those who read for themselves",
    "[failure]") {
  std::string Reader = this->reader();
  this->Links[Reader]->set(LinkFault::Silent);
  std::this_thread::sleep_for(OutageDuration);
  CHECK(this->sentAfterDrop({Reader}) < DrainBound);
}

TEST_CASE_METHOD(LeavingFixture,
                 "leaving target: no node knows how the registry stands: the "
                 "target's own word counts",
                 "[failure]") {
  for (const std::string &Node : Entries)
    this->Links[Node]->set(LinkFault::Silent);
  std::this_thread::sleep_for(OutageDuration);
  this->Run.vmFault("p-1", R"({"call":"closing"})");
  CHECK(this->sentAfterDrop(Entries) < DrainBound);
}

/// Three entries with a target that accepts connections but does not read, like
/// one behind a network partition.
struct UnreadTargetFixture : LeavingFixture {
  UnreadTargetFixture() : Listener(Poco::Net::SocketAddress("127.0.0.1", 0)) {
    for (const char *Vm : {"p-1", "p-2", "p-3"})
      this->dropTarget(Vm);
    this->Run.atPlatform({"POST",
                          "/store/put?topic=keyed.servers&key=deaf",
                          R"({"service":"plain","address":")" +
                              this->Listener.address().toString() +
                              R"(","zone":"a","version":"v1","slots":8,)"
                              R"("state":"ready","cold_left_ms":0,)"
                              R"("sequence":0,"born":1764700000123})",
                          {}});
  }
  /// Whether the next connection to the target ends with a reset.
  bool endsInReset() {
    REQUIRE(this->Listener.poll(Poco::Timespan(20, 0),
                                Poco::Net::Socket::SELECT_READ));
    Poco::Net::StreamSocket Socket = this->Listener.acceptConnection();
    // Waits past the caller's deadline. After a regular close, the bytes would
    // be readable now.
    std::this_thread::sleep_for(milliseconds(1200));
    std::array<char, 4096> Chunk{};
    try {
      Socket.setReceiveTimeout(Poco::Timespan(2, 0));
      while (Socket.receiveBytes(Chunk.data(), Chunk.size()) > 0)
        ;
      return false;
    } catch (const Poco::Net::ConnectionResetException &) {
      return true;
    }
  }
  Poco::Net::ServerSocket Listener;
};

TEST_CASE_METHOD(UnreadTargetFixture,
                 "leaving target: a send is given up unread: it is not "
                 "delivered later",
                 "[failure]") {
  std::thread Caller([&] {
    eventually([&] {
      Reply Response = this->Run.ask("n1", {"POST",
                                            "/safe/x",
                                            "body",
                                            {{"Host", "a.example"},
                                             {"Authorization", "Bearer key-1"},
                                             {"X-Request-Id", "given-up"},
                                             {"X-Deadline-Ms", "400"}}});
      return Response.Status == 504;
    });
  });
  CHECK(this->endsInReset());
  Caller.join();
}

} // namespace waycove::test
