// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// What a node that carries requests tells the one that asked it to.
#include "entry/carrier.h"
#include "entry/neighbour_channel.h"
#include "platform/callers.h"
#include "support/entry_settings.h"

#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

namespace waycove::test {

/// A node that carries a request of another one to a target which is silent.
struct CarriedFixture {
  CarriedFixture() {
    auto Row = std::make_shared<TargetInfo>();
    Row->Id = VmId("a");
    Row->Address = {"127.0.0.1", this->TargetListener.address().port()};
    auto View = std::make_shared<ServingView>();
    View->ByService[ServiceId("s")] = {{Row, ""}};
    this->Board.Serving.write(
        [&](ServingViewRef &Serving) { Serving = std::move(View); });
    wire::ForwardT Request;
    Request.request = "r";
    Request.target = "a";
    Request.repeatable = true;
    Request.deadline_ms = 5000;
    this->Asker.connect(this->PeerListener.address());
    this->Carrying =
        std::thread([this, Request,
                     Socket = Poco::Net::StreamSocket(
                         this->PeerListener.acceptConnection())]() mutable {
          FrameSocket Peer(Socket, this->Board.Counters);
          this->Carriage.serve(Peer, Request);
        });
  }
  ~CarriedFixture() { this->Carrying.join(); }

  /// The node has lost its links to all targets.
  void cutOff() {
    this->Board.updateReach([](TargetReach &Known) {
      TimePoint Now = SystemClock{}.now();
      Known.onNoConnection({VmId("b"), {}}, Now);
      Known.onNoConnection({VmId("c"), {}}, Now);
      Known.onProbeFailed({VmId("b"), {}}, TargetReach::OthersView::Unknown,
                          Now);
      return 0;
    });
  }

  /// The way to the target, over which it got a byte.
  NeighbourChannel openWay() {
    auto Link =
        std::make_unique<FrameSocket>(this->Asker, this->Board.Counters);
    absl::StatusOr<wire::FrameT> Head = Link->receive(Millis(2000));
    REQUIRE(Head.ok());
    REQUIRE(Head->message.AsForwardHead()->status ==
            static_cast<std::uint16_t>(WayStatus::Open));
    NeighbourChannel Channel(this->Board, NodeId("n"), std::move(Link));
    REQUIRE(Channel.send("x", SystemClock{}.now() + Millis(1000)) ==
            IoStatus::Ok);
    return Channel;
  }
  static void reset(Poco::Net::StreamSocket &Link) {
    Link.setLinger(true, 0);
    Link.close();
  }
  /// The link to the target once the request has arrived there.
  Poco::Net::StreamSocket receiveRequest() {
    Poco::Net::StreamSocket Link = this->TargetListener.acceptConnection();
    char Byte = 0;
    REQUIRE(Link.receiveBytes(&Byte, 1) == 1);
    return Link;
  }
  /// Waits until the way ends. Returns whether the target ended it.
  static bool seesTargetEnd(NeighbourChannel &Channel) {
    TimePoint Until = SystemClock{}.now() + Millis(5000);
    IoStatus Status = IoStatus::Timeout;
    while (Status == IoStatus::Timeout && SystemClock{}.now() < Until)
      if (waitForAny({Channel.descriptor()}, -1, Until))
        Status = Channel.fillNow(Until);
    CHECK(Status != IoStatus::Timeout);
    Channel.abort();
    return Channel.hasTargetEnded();
  }
  /// Leaves the target no room for another connection, so that one takes until
  /// its timeout as over a link that is down.
  void fillBacklog() {
    for (int I = 0; I < 3; ++I) {
      this->Waiting.emplace_back();
      this->Waiting.back().connectNB(this->TargetListener.address());
    }
  }

  EntryBoard Board{entrySettings(), IncarnationId("i")};
  Carrier<platform::Callers> Carriage{this->Board};
  Poco::Net::ServerSocket TargetListener{
      Poco::Net::SocketAddress("127.0.0.1", 0), 1};
  Poco::Net::ServerSocket PeerListener{
      Poco::Net::SocketAddress("127.0.0.1", 0)};
  Poco::Net::StreamSocket Asker;
  std::vector<Poco::Net::StreamSocket> Waiting;
  std::thread Carrying;
};

// Guards against requests that are blamed for crashes of targets which another
// node on the way only lost.
TEST_CASE_METHOD(CarriedFixture,
                 "carrier: it loses its links: the other node does not take "
                 "that for the target's end",
                 "[unit]") {
  NeighbourChannel Channel = this->openWay();
  this->cutOff();
  CHECK_FALSE(this->seesTargetEnd(Channel));
}

// Guards against the same where a link is reset before the node knows that it
// has lost any.
TEST_CASE_METHOD(CarriedFixture,
                 "carrier: its link to a target is reset: the other node does "
                 "not take that for the target's end",
                 "[unit]") {
  NeighbourChannel Channel = this->openWay();
  Poco::Net::StreamSocket Link = this->receiveRequest();
  reset(Link);
  CHECK_FALSE(this->seesTargetEnd(Channel));
}

// Guards against the same where the link is still down after the reset.
TEST_CASE_METHOD(CarriedFixture,
                 "carrier: its link to a target is reset and stays down: the "
                 "other node does not take that for the target's end",
                 "[unit]") {
  NeighbourChannel Channel = this->openWay();
  Poco::Net::StreamSocket Link = this->receiveRequest();
  this->fillBacklog();
  reset(Link);
  CHECK_FALSE(this->seesTargetEnd(Channel));
}

// Guards against targets that crash, and of which the other node does not learn
// that.
TEST_CASE_METHOD(CarriedFixture,
                 "carrier: a target ends with a reset: the other node learns "
                 "that it ended",
                 "[unit]") {
  NeighbourChannel Channel = this->openWay();
  Poco::Net::StreamSocket Link = this->receiveRequest();
  this->TargetListener.close();
  reset(Link);
  CHECK(this->seesTargetEnd(Channel));
}

} // namespace waycove::test
