// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// How a node asks another one for a way to a target, and what it makes of
// responses that are none.
#include "control/way_link.h"
#include "entry/neighbour_channel.h"

#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>
#include <thread>

namespace waycove::test {

namespace {

/// What the other node does with the question.
enum class Peer {
  /// A version that carries no requests closes the connection.
  Closes,
  /// Sends bytes that are no frame.
  Garbles,
  /// Sends a frame of another type.
  SendsNews,
  /// Accepts and is silent.
  Silent,
  Declines,
  HasNoWay,
  Opens,
};

Settings entrySettings() {
  Settings Config;
  Config.Node = NodeId("n0");
  Config.Entry.emplace();
  return Config;
}

void respond(FrameSocket &Link, Peer Behaviour) {
  auto SendHead = [&](WayStatus Status) {
    wire::ForwardHeadT Head;
    Head.status = static_cast<std::uint16_t>(Status);
    Link.send(makeFrame(1, std::move(Head)));
  };
  if (Behaviour == Peer::SendsNews)
    Link.send(makeFrame(1, wire::NewsT()));
  if (Behaviour == Peer::Silent)
    std::this_thread::sleep_for(Millis(600));
  if (Behaviour == Peer::Declines)
    SendHead(WayStatus::Declined);
  if (Behaviour == Peer::HasNoWay)
    SendHead(WayStatus::NoWay);
  if (Behaviour == Peer::Opens)
    SendHead(WayStatus::Open);
}

} // namespace

/// A node and another one that it asks.
struct WayFixture {
  /// The response, and the frame that the other node got.
  std::optional<WayResponse> ask(Peer Behaviour, Millis Within = Millis(900)) {
    Poco::Net::ServerSocket Listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    std::thread Other([&] {
      Poco::Net::StreamSocket Socket = Listener.acceptConnection();
      FrameSocket Link(Socket, this->Board.Counters);
      this->Question = Link.receive(Millis(1000));
      if (Behaviour == Peer::Garbles)
        Socket.sendBytes("\x05\0\0\0hello", 9);
      respond(Link, Behaviour);
    });
    NodeInfo Node;
    Node.Node = NodeId("n1");
    Node.Host = "127.0.0.1";
    Node.Port = Listener.address().port();
    auto Response =
        askForWay(this->Board, Node,
                  {{VmId("t"), WallMs(7)}, RequestId("r"), Millis(900), true},
                  BootClock::now() + Within);
    this->RespondedAt = BootClock::now();
    Other.join();
    return Response;
  }

  EntryBoard Board{entrySettings(), IncarnationId("i")};
  TimePoint RespondedAt;
  absl::StatusOr<wire::FrameT> Question{absl::UnknownError("none")};
};

// Guards against a node of an earlier version, or a broken one, that is taken
// for one which has sent the request.
TEST_CASE_METHOD(WayFixture,
                 "way: the other node closes, garbles, is silent or says "
                 "something else: it counts as unreachable",
                 "[contract]") {
  for (Peer Behaviour :
       {Peer::Closes, Peer::Garbles, Peer::SendsNews, Peer::Silent}) {
    CAPTURE(static_cast<int>(Behaviour));
    CHECK_FALSE(this->ask(Behaviour));
  }
}

// Guards against a target or a deadline that is lost on the way.
// Guards against a request that is held beyond its deadline by a neighbour that
// is frozen: it accepts connections and reads nothing.
TEST_CASE_METHOD(WayFixture,
                 "way: the deadline is near and the other node silent: the "
                 "question ends by the deadline",
                 "[contract]") {
  TimePoint Begin = BootClock::now();
  CHECK_FALSE(this->ask(Peer::Silent, Millis(60)));
  CHECK(this->RespondedAt - Begin < Millis(160));
}

// Guards against the same with a request that is larger than the buffers of the
// connection, and with a frame of which only a part arrives.
TEST_CASE_METHOD(WayFixture,
                 "way: the other node freezes after it has opened the way: "
                 "sending and receiving end by the deadline",
                 "[contract]") {
  Poco::Net::ServerSocket Listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  auto Socket =
      FrameSocket::dial("127.0.0.1", Listener.address().port(), Millis(1000));
  REQUIRE(Socket.ok());
  Poco::Net::StreamSocket Frozen = Listener.acceptConnection();
  NeighbourChannel Way(
      this->Board, NodeId("n1"),
      std::make_unique<FrameSocket>(*Socket, this->Board.Counters));
  Frozen.sendBytes("\x40\0\0\0part", 8);
  TimePoint Begin = BootClock::now();
  CHECK(Way.fillNow(Begin + Millis(60)) == IoStatus::Broken);
  CHECK(BootClock::now() - Begin < Millis(160));
  Begin = BootClock::now();
  CHECK(Way.send(std::string(32 << 20, 'x'), Begin + Millis(200)) ==
        IoStatus::Broken);
  CHECK(BootClock::now() - Begin < Millis(400));
}

TEST_CASE_METHOD(WayFixture,
                 "way: the other node responds: the status is as it says, and "
                 "the question names the target's process",
                 "[contract]") {
  for (auto [Behaviour, Status] :
       {std::pair(Peer::Declines, WayStatus::Declined),
        std::pair(Peer::HasNoWay, WayStatus::NoWay),
        std::pair(Peer::Opens, WayStatus::Open)}) {
    auto Response = this->ask(Behaviour);
    REQUIRE(Response);
    CHECK(Response->Status == Status);
    REQUIRE(this->Question.ok());
    const auto *Asked = this->Question->message.AsForward();
    REQUIRE(Asked);
    CHECK(Asked->target == "t");
    CHECK(Asked->target_started_ms == 7);
    CHECK(Asked->request == "r");
    CHECK(Asked->deadline_ms == 900);
    CHECK(Asked->repeatable);
    CHECK(Asked->body.empty());
  }
}

} // namespace waycove::test
