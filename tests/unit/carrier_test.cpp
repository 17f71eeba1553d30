// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// What a node that carries requests tells the one that asked it to.
#include "entry/carrier.h"
#include "entry/neighbour_channel.h"
#include "platform/callers.h"

#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>
#include <thread>

namespace waycove::test {

namespace {

Settings entrySettings() {
  Settings Config;
  Config.Node = NodeId("n");
  Config.DataCentre = DataCentreId("here");
  Config.Entry.emplace();
  return Config;
}

} // namespace

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

  EntryBoard Board{entrySettings(), IncarnationId("i")};
  Carrier<platform::Callers> Carriage{this->Board};
  Poco::Net::ServerSocket TargetListener{
      Poco::Net::SocketAddress("127.0.0.1", 0)};
  Poco::Net::ServerSocket PeerListener{
      Poco::Net::SocketAddress("127.0.0.1", 0)};
  Poco::Net::StreamSocket Asker;
  std::thread Carrying;
};

// Guards against requests that are blamed for crashes of targets which another
// node on the way only lost.
TEST_CASE_METHOD(CarriedFixture,
                 "carrier: it loses its links: the other node does not take "
                 "that for the target's end",
                 "[unit]") {
  auto Link = std::make_unique<FrameSocket>(this->Asker, this->Board.Counters);
  absl::StatusOr<wire::FrameT> Head = Link->receive(Millis(2000));
  REQUIRE(Head.ok());
  REQUIRE(Head->message.AsForwardHead()->status ==
          static_cast<std::uint16_t>(WayStatus::Open));
  NeighbourChannel Channel(this->Board, NodeId("n"), std::move(Link));
  REQUIRE(Channel.send("x", SystemClock{}.now() + Millis(1000)) ==
          IoStatus::Ok);
  this->cutOff();
  TimePoint Until = SystemClock{}.now() + Millis(2500);
  IoStatus Status = IoStatus::Timeout;
  while (Status == IoStatus::Timeout && SystemClock{}.now() < Until)
    Status = Channel.fillNow(Until);
  CHECK_FALSE(Channel.hasTargetEnded());
  Channel.abort();
}

} // namespace waycove::test
