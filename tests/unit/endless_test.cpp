// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Bytes that come without end and are no answer: each reader of what other
// machines send stops within a bound on bytes and one on time, and its memory
// does not grow with them.
#include "edge/target.h"
#include "entry/neighbour_channel.h"
#include "entry/target_connection_pool.h"
#include "platform/control.h"
#include "standins/endless.h"
#include "support/broken_server.h"
#include "support/entry_settings.h"
#include "support/peak_memory.h"

#include <catch2/catch.hpp>
#include <thread>

namespace waycove::test {

namespace {

/// A reply to an order or a report may have a megabyte; the rest is what the
/// process and the sockets' buffers need.
constexpr long MaxGrowthKb = 16 << 10;
constexpr std::uint64_t MaxTakenBytes = 24 << 20;
/// Beyond the time that a call is given, on a busy machine.
constexpr Millis Leeway(400);
constexpr Millis CallTime(400);

} // namespace

/// A server that answers one request with bytes without end.
struct EndlessServer : BrokenServer {
  explicit EndlessServer(const std::string &Fault)
      : BrokenServer(standin::EndlessResponse(Fault, "")) {}
};

struct EndlessFixture {
  /// Calls \p Read, which reads from \p Server, and checks its bounds.
  template <typename F> void checkBounds(EndlessServer &Server, F &&Read) {
    long Before = peakMemoryKb();
    TimePoint Begin = BootClock::now();
    Read();
    CHECK(BootClock::now() - Begin < CallTime + Leeway);
    CHECK(Server.taken() < MaxTakenBytes);
    CHECK(peakMemoryKb() - Before < MaxGrowthKb);
  }
  TargetRef target(std::uint16_t Port) {
    auto Row = std::make_shared<TargetInfo>();
    Row->Id = VmId("a");
    Row->Address = {"127.0.0.1", Port};
    return Row;
  }
  std::uint64_t count(Counter Which) { return this->Board.Counters.get(Which); }

  const std::vector<std::string> Kinds{
      "endless:line",    "endless:head",     "endless:interim",
      "endless:trailer", "endless:chunks",   "endless:extension",
      "trickle:head",    "trickle:trailer",  "trickle:interim",
      "trickle:chunks",  "endless:unframed", "endless:stray"};
  EntryBoard Board{entrySettings(), IncarnationId("i")};
  platform::TargetControl Targets{Board};
};

// Guards against an owner that waits for one target's reply, or fills its
// memory with it.
TEST_CASE_METHOD(EndlessFixture,
                 "endless reply: to an order: its outcome is unknown within "
                 "its time",
                 "[unit]") {
  for (const std::string &Kind : this->Kinds) {
    INFO(Kind);
    EndlessServer Server(Kind);
    GroupOrder Order;
    Order.To = this->target(Server.port());
    bool IsReply = Kind == "endless:stray";
    this->checkBounds(Server, [&] {
      OrderOutcome Outcome = this->Targets.order(Order, 1);
      CHECK(Outcome ==
            (IsReply ? OrderOutcome::Accepted : OrderOutcome::Unknown));
    });
  }
}

// Guards against a prober that waits for one target's report.
TEST_CASE_METHOD(EndlessFixture,
                 "endless reply: to a report: unresponsive within its time",
                 "[unit]") {
  for (const char *Kind : {"endless:chunks", "trickle:trailer"}) {
    INFO(Kind);
    EndlessServer Server(Kind);
    TargetRef To = this->target(Server.port());
    this->checkBounds(Server, [&] {
      CHECK(this->Targets.probe(*To) == Reachability::Unresponsive);
    });
  }
}

// Guards against an attempt at an engine that lasts as long as bytes come.
TEST_CASE_METHOD(EndlessFixture,
                 "endless reply: an engine of the own interface: the attempt "
                 "ends without a token",
                 "[unit]") {
  Settings Config;
  for (const std::string &Kind : this->Kinds) {
    INFO(Kind);
    EndlessServer Server(Kind);
    EngineCall Call;
    Call.Address = {"127.0.0.1", Server.port()};
    Call.Request = RequestId("r");
    Call.Stall = CallTime;
    Call.Deadline = BootClock::now() + Millis(10000);
    EngineDone Done;
    this->checkBounds(Server, [&] {
      AttemptOutcome End = HttpEngine(Config).generate(
          Call, [](const EngineToken &) { return TokenVerdict::Accept; }, Done);
      CHECK((End == AttemptOutcome::Broken || End == AttemptOutcome::Stalled));
    });
  }
}

// Guards against a response of a plain service that is read past the request's
// deadline.
TEST_CASE_METHOD(EndlessFixture,
                 "endless reply: a plain service of the own interface: the "
                 "attempt breaks by its deadline",
                 "[unit]") {
  Settings Config;
  for (const char *Kind :
       {"endless:trailer", "trickle:trailer", "trickle:head"}) {
    INFO(Kind);
    EndlessServer Server(Kind);
    PlainCall Call;
    Call.Address = {"127.0.0.1", Server.port()};
    Call.Request = RequestId("r");
    Call.Http = {"GET", "/", "", "", {}};
    Call.Timeout = CallTime;
    HttpReply Reply;
    this->checkBounds(Server, [&] {
      CHECK(HttpPlainService(Config, this->Board.Counters).call(Call, Reply) ==
            AttemptOutcome::Broken);
    });
  }
}

// Guards against bytes that pile up unread on connections which are kept.
TEST_CASE_METHOD(EndlessFixture,
                 "endless bytes: on a kept connection: it is closed without "
                 "another request",
                 "[unit]") {
  EndlessServer Server("endless:after");
  std::optional<Channel> Kept;
  TimePoint Now = BootClock::now();
  REQUIRE(Channel::connect({"127.0.0.1", Server.port()}, Now + Millis(1000),
                           Kept) == IoStatus::Ok);
  REQUIRE(Kept->send("x", Now + Millis(1000)) == IoStatus::Ok);
  REQUIRE(Kept->waitReadable(Now + Millis(2000)) == IoStatus::Ok);
  TargetConnectionPool Pool;
  VmIncarnation Target{VmId("a"), {}};
  Pool.put(Target, std::move(*Kept), Millis(60000), 4, Now);
  Kept.reset();
  Pool.sweep([](const VmIncarnation &) { return true; }, Now);
  // The server gives up a second after its peer has stopped to read.
  CHECK(Server.taken() < MaxTakenBytes);
  CHECK(BootClock::now() - Now < CallTime + Leeway);
}

// Guards against a link that is read as long as bytes of one frame come.
TEST_CASE_METHOD(EndlessFixture,
                 "endless bytes: a frame of another node that trickles in: no "
                 "frame within its time",
                 "[unit]") {
  Poco::Net::ServerSocket Listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  Poco::Net::StreamSocket Asker(Listener.address());
  std::thread Sending([Peer = Poco::Net::StreamSocket(
                           Listener.acceptConnection())]() mutable {
    TimePoint End = BootClock::now() + 5 * CallTime;
    try {
      // A length of 48 MB.
      Peer.sendBytes("\0\0\0\3", 4);
      for (; BootClock::now() < End; std::this_thread::sleep_for(Millis(20)))
        Peer.sendBytes("a", 1);
    } catch (const Poco::Exception &) {
      // The peer has closed the connection.
    }
    Peer.close();
  });
  FrameSocket Link(Asker, this->Board.Counters);
  TimePoint Begin = BootClock::now();
  CHECK_FALSE(Link.receive(Millis(2000), CallTime).ok());
  CHECK(BootClock::now() - Begin >= CallTime);
  CHECK(BootClock::now() - Begin < CallTime + Leeway);
  Link.abort();
  Sending.join();
}

// Guards against a carrier that fills the memory of the node which asked it.
TEST_CASE_METHOD(EndlessFixture,
                 "endless bytes: through another node: one read takes a part "
                 "of them",
                 "[unit]") {
  constexpr std::size_t MaxRead = 1 << 20;
  // Of which several arrive with one read.
  constexpr std::size_t FrameBytes = 500;
  Poco::Net::ServerSocket Listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  Poco::Net::StreamSocket Asker(Listener.address());
  std::thread Carrying(
      [this, Peer = Poco::Net::StreamSocket(Listener.acceptConnection())] {
        FrameSocket Link(Peer, this->Board.Counters);
        wire::ForwardDataT Data;
        Data.data.assign(FrameBytes, 'a');
        while (Link.send(makeFrame(1, Data)))
          ;
      });
  NeighbourChannel Way(
      this->Board, NodeId("m"),
      std::make_unique<FrameSocket>(Asker, this->Board.Counters));
  for (int I = 0; I < 5; ++I) {
    Way.buffer().clear();
    CHECK(Way.fillNow(BootClock::now() + Millis(2000)) == IoStatus::Ok);
    CHECK(Way.buffer().size() < MaxRead);
  }
  Way.abort();
  Carrying.join();
}

} // namespace waycove::test
