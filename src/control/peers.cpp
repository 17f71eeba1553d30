// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/peers.h"

#include "policy/rendezvous.h"

#include <Poco/Net/TCPServerConnectionFactory.h>
#include <cmath>

namespace waycove {

namespace {

constexpr Millis FirstFrameTimeout(3000);
/// A link without frames for this long is broken: heartbeats flow all the
/// time.
constexpr Millis LinkIdleTimeout(15000);
constexpr std::size_t MaxConcurrentDials = 8;
constexpr std::size_t MaxLinks = 64;
constexpr Millis UnwantedLinkTimeout(5000);
/// Up to this size the ring's news needs one or two hops.
constexpr std::size_t SmallDataCentreSize = 9;
constexpr int LivenessHeartbeats = 4;
/// Heartbeats come the slower, the more daemons there are.
constexpr Millis HeartbeatIntervalPerMember(20);
/// Of other data centres' heartbeats one in so many is passed on.
constexpr std::uint64_t RemoteHeartbeatStride = 4;

class PeerConnection : public Poco::Net::TCPServerConnection {
public:
  PeerConnection(const Poco::Net::StreamSocket &Socket, PeerExchange &Owner)
      : TCPServerConnection(Socket), Owner(Owner) {}
  void run() override { this->Owner.serveConnection(this->socket()); }

private:
  PeerExchange &Owner;
};

class PeerConnections : public Poco::Net::TCPServerConnectionFactory {
public:
  explicit PeerConnections(PeerExchange &Owner) : Owner(Owner) {}
  Poco::Net::TCPServerConnection *
  createConnection(const Poco::Net::StreamSocket &Socket) override {
    return new PeerConnection(Socket, this->Owner);
  }

private:
  PeerExchange &Owner;
};

} // namespace

PeerExchange::PeerExchange(Board &Tables, RecordFolder &Fold,
                           ForwardHandler OnForward)
    : Tables(Tables), Fold(Fold), OnForward(std::move(OnForward)),
      EffectiveHeartbeatInterval(Tables.Config.HeartbeatInterval) {}

PeerExchange::~PeerExchange() {
  this->Closing = true;
  if (this->Server)
    this->Server->stop();
  for (const LinkRef &Row : this->openLinks())
    Row->Socket->shutdown();
  std::vector<Dialer> Last;
  {
    std::lock_guard Lock(this->Mutex);
    Last.swap(this->Dialers);
  }
  Last.clear();
  if (this->Server)
    while (this->Server->currentConnections() > 0)
      std::this_thread::sleep_for(Millis(5));
}

void PeerExchange::start() {
  auto Params =
      Poco::AutoPtr<Poco::Net::TCPServerParams>(new Poco::Net::TCPServerParams);
  Params->setMaxThreads(512);
  Params->setMaxQueued(512);
  const Endpoint &Where = this->Tables.Config.PeerListen;
  Poco::Net::ServerSocket Socket;
  Socket.bind(Poco::Net::SocketAddress(Where.Host, Where.Port), true, false);
  Socket.listen(128);
  static Poco::ThreadPool Pool("peers", 4, 512, 60, 256 << 10);
  this->Server = std::make_unique<Poco::Net::TCPServer>(
      new PeerConnections(*this), Pool, Socket, Params);
  this->Server->start();
}

std::vector<PeerExchange::LinkRef> PeerExchange::openLinks() const {
  std::lock_guard Lock(this->Mutex);
  std::vector<LinkRef> Rows;
  for (const LinkRef &Row : this->Links)
    if (Row->Open)
      Rows.push_back(Row);
  return Rows;
}

std::size_t PeerExchange::linkCount() const { return this->openLinks().size(); }

wire::PeerRowT PeerExchange::ownRow() const {
  wire::PeerRowT Row;
  Row.node = this->Tables.Self.Node.Text;
  Row.incarnation = this->Tables.Self.Incarnation.Text;
  Row.data_centre = this->Tables.Self.DataCentre.Text;
  Row.host = this->Tables.Config.PeerListen.Host;
  Row.peer_port = this->Tables.Config.PeerListen.Port;
  Row.http_port = this->Tables.Config.Http.Port;
  Row.sequence = 1;
  return Row;
}

std::uint32_t PeerExchange::ownFlags() const {
  std::uint32_t Flags = 0;
  if (this->Tables.hasFreshMemberState(SystemClock{}.now()))
    Flags |= MembersFresh;
  if (this->Tables.Ready)
    Flags |= Serving;
  if (this->Tables.Stopping)
    Flags |= StoppingNode;
  return Flags;
}

wire::Heartbeat PeerExchange::ownHeartbeat() {
  std::uint32_t Flags = this->ownFlags();
  this->SentFlags = Flags;
  return {this->Tables.Self.Hash.Value, this->Fold.next().Value,
          static_cast<std::uint32_t>(this->HeartbeatCount.fetch_add(1) + 1),
          static_cast<std::uint16_t>(
              std::min(this->Tables.InFlight.load(), 65535U)),
          static_cast<std::uint16_t>(Flags)};
}

wire::GossipT PeerExchange::gossipFor(Link &To, TimePoint Now) {
  bool Foreign = To.Centre != this->Tables.Self.DataCentre;
  auto Fresh = [&](const ChangeMark &Mark) {
    return Mark.Count > To.SentUpTo && Mark.Link != To.Id;
  };
  wire::GossipT News;
  this->Tables.Health.read([&](const HealthTable &Rows) {
    if (Foreign)
      return;
    for (const auto &[Id, Row] : Rows.rows())
      if (Fresh(Row.Mark)) {
        auto Out = std::make_unique<wire::HealthRowT>();
        Out->fence = Id.Value;
        Out->version = Row.Version;
        Out->owner = Row.Owner.Value;
        Out->ready = Row.Ready;
        News.health.push_back(std::move(Out));
      }
  });
  this->Tables.Peers.read([&](const PeerTable &Rows) {
    for (const auto &[Node, Row] : Rows.rows())
      if (Node != this->Tables.Self.Hash && Fresh(Row.RowMark) && Row.Known)
        News.peers.push_back(std::make_unique<wire::PeerRowT>(Row.Row));
  });
  this->addHeartbeats(To, Now, News);
  return News;
}

/// Heartbeats that the other end does not have yet. Other data centres hear
/// those of relays only, and every data centre those from elsewhere at a
/// slower pace: they serve to pass requests on, not to control groups.
void PeerExchange::addHeartbeats(Link &To, TimePoint Now, wire::GossipT &News) {
  const DataCentreId &Here = this->Tables.Self.DataCentre;
  bool Foreign = To.Centre != Here;
  std::vector<NodeHash> Relays = relaysOf(this->Tables.members(Now), Here);
  std::lock_guard Lock(To.Mutex);
  this->Tables.Peers.read([&](const PeerTable &Rows) {
    for (const auto &[Node, Row] : Rows.rows()) {
      bool Elsewhere = Row.Row.data_centre != Here.Text;
      bool Wanted =
          !Foreign || Elsewhere ||
          std::find(Relays.begin(), Relays.end(), Node) != Relays.end();
      if (Row.Sequence == 0 || !Wanted || Node == this->Tables.Self.Hash)
        continue;
      std::uint64_t &Has = To.Has[Node];
      std::uint64_t Pace =
          Has > 0 && (Elsewhere || Foreign) ? RemoteHeartbeatStride : 1;
      if (Row.Sequence < Has + Pace)
        continue;
      Has = Row.Sequence;
      News.heartbeats.emplace_back(
          Node.Value, Row.Folded, static_cast<std::uint32_t>(Row.Sequence),
          static_cast<std::uint16_t>(std::min(Row.InFlight, 65535U)),
          static_cast<std::uint16_t>(Row.Flags));
    }
  });
}

void PeerExchange::flush(TimePoint Now, bool WithHeartbeat) {
  // Peers judge this daemon's rows by its flags, so both go out together.
  WithHeartbeat |= this->ownFlags() != this->SentFlags;
  std::optional<wire::Heartbeat> Own;
  if (WithHeartbeat)
    Own = this->ownHeartbeat();
  for (const LinkRef &Row : this->openLinks()) {
    std::uint64_t UpTo = this->Tables.Changes.load();
    wire::GossipT News = this->gossipFor(*Row, Now);
    if (Own)
      News.heartbeats.push_back(*Own);
    if (Row->Centre == this->Tables.Self.DataCentre)
      this->Tables.Vms.read([&](const VmTable &Vms) {
        for (const auto &[Vm, Entry] : Vms.leavingNotices())
          if (Entry.Mark.Count > Row->SentUpTo && Entry.Mark.Link != Row->Id) {
            auto Out = std::make_unique<wire::LeavingRowT>();
            Out->vm = Vm.Text;
            Out->until_ms = Entry.Until.Value;
            News.leaving.push_back(std::move(Out));
          }
      });
    Row->SentUpTo = UpTo;
    bool Empty = News.heartbeats.empty() && News.peers.empty() &&
                 News.health.empty() && News.leaving.empty();
    if (!Empty)
      this->send(*Row, makeFrame(this->Tables.Clock.tick(SystemClock{}.wall()),
                                 std::move(News)));
  }
}

void PeerExchange::send(Link &To, const wire::FrameT &Frame) {
  if (!To.Socket->send(Frame)) {
    To.Open = false;
    To.Socket->shutdown();
  }
}

/// Larger data centres need more hops, so silence has to last longer before it
/// says anything.
void PeerExchange::updateTimeouts(TimePoint Now) {
  std::size_t Here = this->Tables.controllers(Now).size();
  long Hops = Here <= SmallDataCentreSize
                  ? 0
                  : std::lround(std::sqrt(static_cast<double>(Here)));
  // Many heartbeats a second would cost more than they tell.
  Millis Config = this->Tables.Config.HeartbeatInterval;
  Millis Every = std::max(
      Config, static_cast<std::int64_t>(this->Tables.members(Now).size()) *
                  HeartbeatIntervalPerMember);
  this->EffectiveHeartbeatInterval = Every;
  Millis LivenessTimeout =
      std::max(Millis(600), LivenessHeartbeats * Every + Hops * Config);
  this->Tables.Peers.write(
      [&](PeerTable &Rows) { Rows.LivenessTimeout = LivenessTimeout; });
}

void PeerExchange::tick(TimePoint Now) {
  ++this->Rounds;
  // 1. Who fell silent?
  this->updateTimeouts(Now);
  std::vector<NodeHash> Lost = this->Tables.Peers.write(
      [&](PeerTable &Rows) { return Rows.sweep(Now); });
  for (NodeHash Node : Lost) {
    std::string Name = this->Tables.Peers.read([&](const PeerTable &Rows) {
      const Peer *Row = Rows.find(Node);
      return Row ? Row->Row.node : std::string("?");
    });
    this->Tables.Log.emit(EventCode::PeerLost, Name);
  }
  // 2. Speak.
  bool Due =
      Now - this->LastHeartbeat >= this->EffectiveHeartbeatInterval.load();
  if (Due)
    this->LastHeartbeat = Now;
  this->flush(Now, Due);
  // 3. Links and records.
  this->updateLinks(Now);
  this->requestRecords(Now);
  this->requestVms();
  this->removeStaleHealth();
  std::lock_guard Lock(this->Mutex);
  std::erase_if(this->Links, [](const LinkRef &Row) { return !Row->Open; });
}

void PeerExchange::removeStaleHealth() {
  std::vector<Fence> Gone;
  this->Tables.State.read([&](const FoldState &State) {
    this->Tables.Health.read([&](const HealthTable &Rows) {
      // News of a group may come before the group's own record.
      for (const auto &[Id, Row] : Rows.rows())
        if (Id.Value <= State.next().Value && !State.group(Id))
          Gone.push_back(Id);
    });
  });
  if (!Gone.empty())
    this->Tables.Health.write([&](HealthTable &Rows) {
      for (Fence Id : Gone)
        Rows.remove(Id);
    });
}

void PeerExchange::updateLinks(TimePoint Now) {
  std::vector<LinkRef> Open = this->openLinks();
  std::vector<NodeHash> Wanted =
      chooseLinks(this->Tables.Self.Hash, this->Tables.members(Now));
  auto Linked = [&](NodeHash Node) {
    return std::any_of(Open.begin(), Open.end(),
                       [&](const LinkRef &Row) { return Row->Other == Node; });
  };
  // 1. Links that choice asks for.
  std::vector<Endpoint> Targets;
  std::vector<Endpoint> Known;
  this->Tables.Peers.read([&](const PeerTable &Rows) {
    for (const auto &[Node, Row] : Rows.rows()) {
      Endpoint Where{Row.Row.host, Row.Row.peer_port};
      if (Rows.isLive(Node, Now) || Linked(Node))
        Known.push_back(Where);
      if (std::find(Wanted.begin(), Wanted.end(), Node) != Wanted.end() &&
          !Linked(Node))
        Targets.push_back(Where);
    }
  });
  // 2. One seed a round that is not among the live: a cut may have healed.
  const auto &Seeds = this->Tables.Config.Peers;
  if (!Seeds.empty() && (Open.empty() || this->Rounds % 4 == 0))
    for (std::size_t I = 0; I < Seeds.size(); ++I) {
      const Endpoint &Seed = Seeds[this->NextSeed++ % Seeds.size()];
      bool IsKnown =
          std::any_of(Known.begin(), Known.end(), [&](const Endpoint &Row) {
            return Row.text() == Seed.text();
          });
      if (IsKnown || Seed.text() == this->Tables.Config.PeerListen.text())
        continue;
      Targets.push_back(Seed);
      break;
    }
  for (const Endpoint &Where : Targets)
    if (this->Dialing < static_cast<int>(MaxConcurrentDials))
      this->dial(Where);
  // 3. Links that this daemon opened and no longer wants.
  for (const LinkRef &Row : Open)
    if (Row->Dialed && Now - Row->Since > UnwantedLinkTimeout &&
        std::find(Wanted.begin(), Wanted.end(), Row->Other) == Wanted.end()) {
      Row->Open = false;
      Row->Socket->shutdown();
    }
}

void PeerExchange::dial(const Endpoint &Where) {
  ++this->Dialing;
  std::lock_guard Lock(this->Mutex);
  auto Done = std::make_shared<std::atomic<bool>>(false);
  std::jthread Thread([this, Where, Done] {
    auto Socket = FrameSocket::dial(Where.Host, Where.Port,
                                    this->Tables.Config.ConnectTimeout);
    LinkRef Row;
    if (Socket.ok() && !this->Closing) {
      Row = std::make_shared<Link>();
      Row->Id = this->NextLink++;
      Row->Dialed = true;
      Row->Socket =
          std::make_unique<FrameSocket>(*Socket, this->Tables.Counters);
      // The first frame says who dials; the answer, who was found.
      wire::GossipT Hello;
      Hello.peers.push_back(std::make_unique<wire::PeerRowT>(this->ownRow()));
      this->send(*Row, makeFrame(this->Tables.Clock.tick(SystemClock{}.wall()),
                                 std::move(Hello)));
    }
    --this->Dialing;
    if (Row)
      this->runLink(Row);
    *Done = true;
  });
  // Only threads that ended are joined here, so this does not block.
  std::erase_if(this->Dialers,
                [](const Dialer &Row) { return Row.Done->load(); });
  this->Dialers.push_back({std::move(Done), std::move(Thread)});
}

void PeerExchange::serveConnection(const Poco::Net::StreamSocket &Socket) {
  auto Row = std::make_shared<Link>();
  Row->Id = this->NextLink++;
  Row->Socket = std::make_unique<FrameSocket>(Socket, this->Tables.Counters);
  absl::StatusOr<wire::FrameT> First = Row->Socket->receive(FirstFrameTimeout);
  if (!First.ok() || this->Closing)
    return;
  this->Tables.Clock.merge(First->clock);
  if (const auto *Asked = First->message.AsForward()) {
    this->OnForward(*Row->Socket, *Asked);
    return;
  }
  const auto *Hello = First->message.AsGossip();
  if (!Hello || Hello->peers.empty() || this->linkCount() >= MaxLinks)
    return;
  wire::GossipT Answer;
  Answer.peers.push_back(std::make_unique<wire::PeerRowT>(this->ownRow()));
  this->send(*Row, makeFrame(this->Tables.Clock.tick(SystemClock{}.wall()),
                             std::move(Answer)));
  this->receiveGossip(*Row, *Hello);
  this->runLink(Row);
}

void PeerExchange::runLink(const LinkRef &Row) {
  Row->Since = SystemClock{}.now();
  bool Listed = false;
  while (Row->Open && !this->Closing) {
    if (!Listed && Row->Other != NodeHash()) {
      std::lock_guard Lock(this->Mutex);
      this->Links.push_back(Row);
      Listed = true;
      this->Tables.GossipRequested.set();
    }
    absl::StatusOr<wire::FrameT> Frame = Row->Socket->receive(LinkIdleTimeout);
    if (!Frame.ok())
      break;
    this->Tables.Clock.merge(Frame->clock);
    if (const auto *News = Frame->message.AsGossip())
      this->receiveGossip(*Row, *News);
    else if (const auto *Asked = Frame->message.AsRecordsWanted())
      this->sendRecords(*Row, *Asked);
    else if (const auto *Records = Frame->message.AsRecords())
      this->receiveRecords(*Records);
    else
      break;
  }
  Row->Open = false;
  Row->Socket->shutdown();
}

void PeerExchange::receiveGossip(Link &From, const wire::GossipT &News) {
  TimePoint Now = SystemClock{}.now();
  auto Mark = [&] {
    return ChangeMark{this->Tables.Changes.fetch_add(1) + 1, From.Id};
  };
  bool Urgent = false;
  std::vector<std::string> Joined;
  // 1. The first row of the first frame is the other end's own.
  if (From.Other == NodeHash() && !News.peers.empty()) {
    From.Other = hashNode(NodeId(News.peers[0]->node),
                          IncarnationId(News.peers[0]->incarnation));
    From.Centre = DataCentreId(News.peers[0]->data_centre);
    if (From.Other == this->Tables.Self.Hash)
      From.Open = false;
  }
  {
    std::lock_guard Lock(From.Mutex);
    for (const auto &Beat : News.heartbeats) {
      std::uint64_t &Has = From.Has[NodeHash(Beat.node())];
      Has = std::max<std::uint64_t>(Has, Beat.sequence());
    }
  }
  // 2. Health and leaving VMs, which others should hear of at once.
  this->Tables.Vms.write([&](VmTable &Vms) {
    for (const auto &Row : News.leaving)
      Urgent |= Vms.recordLeaving(VmId(Row->vm), WallMs(Row->until_ms), Mark());
  });
  this->Tables.Health.write([&](HealthTable &Rows) {
    for (const auto &Row : News.health)
      Urgent |= Rows.put(Fence(Row->fence), {Row->version, NodeHash(Row->owner),
                                             Row->ready, Mark()});
  });
  // 3. Daemons.
  this->Tables.Peers.write([&](PeerTable &Rows) {
    for (const auto &Row : News.peers) {
      NodeHash Node =
          hashNode(NodeId(Row->node), IncarnationId(Row->incarnation));
      if (Node != this->Tables.Self.Hash && Rows.put(*Row, Now, Mark()))
        Joined.push_back(Row->node);
    }
    for (const auto &Beat : News.heartbeats)
      if (NodeHash(Beat.node()) != this->Tables.Self.Hash)
        Rows.recordHeartbeat(Beat, Now);
  });
  for (const std::string &Name : Joined)
    this->Tables.Log.emit(EventCode::PeerJoined, Name);
  if (Urgent || !Joined.empty())
    this->Tables.GossipRequested.set();
}

} // namespace waycove
