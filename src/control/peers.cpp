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
/// A link without frames for this long is considered broken.
constexpr Millis LinkIdleTimeout(15000);
constexpr std::size_t MaxConcurrentDials = 8;
constexpr std::size_t MaxLinks = 64;
constexpr Millis UnwantedLinkTimeout(5000);
/// Up to this size, gossip reaches every daemon in one or two hops.
constexpr std::size_t SmallDataCentreSize = 9;
/// Heartbeat intervals without a heartbeat until a daemon counts as lost.
constexpr int LivenessHeartbeats = 4;
/// The heartbeat interval is at least this long per daemon.
constexpr Millis HeartbeatIntervalPerMember(20);
/// Between data centres, one in this many heartbeats is passed on.
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
  for (const LinkRef &PeerLink : this->openLinks())
    PeerLink->Socket->shutdown();
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
  std::vector<LinkRef> Open;
  for (const LinkRef &PeerLink : this->Links)
    if (PeerLink->Open)
      Open.push_back(PeerLink);
  return Open;
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
  auto IsNew = [&](const ChangeMark &Mark) {
    return Mark.Count > To.SentUpTo && Mark.Link != To.Id;
  };
  wire::GossipT News;
  this->Tables.Health.read([&](const HealthTable &Rows) {
    if (Foreign)
      return;
    for (const auto &[Id, Row] : Rows.rows())
      if (IsNew(Row.Mark)) {
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
      if (Node != this->Tables.Self.Hash && IsNew(Row.RowMark) && Row.Known)
        News.peers.push_back(std::make_unique<wire::PeerRowT>(Row.Row));
  });
  this->addHeartbeats(To, Now, News);
  return News;
}

/// Adds the heartbeats that the other end does not have yet. Other data centres
/// get only those of relays, and heartbeats cross data centres at a lower rate:
/// there they are needed to forward requests, not to control groups.
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
      std::uint64_t &Known = To.KnownSequences[Node];
      std::uint64_t Pace =
          Known > 0 && (Elsewhere || Foreign) ? RemoteHeartbeatStride : 1;
      if (Row.Sequence < Known + Pace)
        continue;
      Known = Row.Sequence;
      News.heartbeats.emplace_back(
          Node.Value, Row.Folded, static_cast<std::uint32_t>(Row.Sequence),
          static_cast<std::uint16_t>(std::min(Row.InFlight, 65535U)),
          static_cast<std::uint16_t>(Row.Flags));
    }
  });
}

void PeerExchange::flush(TimePoint Now, bool WithHeartbeat) {
  // Peers interpret this daemon's rows by its flags, so a change of flags is
  // sent along with the rows.
  WithHeartbeat |= this->ownFlags() != this->SentFlags;
  // So is a heartbeat on a new link: to a peer that has none, this daemon is
  // not live, and the groups that it reports as ready do not serve. The next
  // regular one may be a whole interval away.
  std::vector<LinkRef> Open = this->openLinks();
  WithHeartbeat |= std::any_of(Open.begin(), Open.end(), [](const LinkRef &To) {
    return !To->HasHeartbeat;
  });
  std::optional<wire::Heartbeat> Own;
  if (WithHeartbeat)
    Own = this->ownHeartbeat();
  for (const LinkRef &PeerLink : Open) {
    std::uint64_t UpTo = this->Tables.Changes.load();
    wire::GossipT News = this->gossipFor(*PeerLink, Now);
    if (Own) {
      News.heartbeats.push_back(*Own);
      PeerLink->HasHeartbeat = true;
    }
    if (PeerLink->Centre == this->Tables.Self.DataCentre)
      this->Tables.Vms.read([&](const VmTable &Vms) {
        for (const auto &[Vm, Entry] : Vms.leavingNotices())
          if (Entry.Mark.Count > PeerLink->SentUpTo &&
              Entry.Mark.Link != PeerLink->Id) {
            auto Out = std::make_unique<wire::LeavingRowT>();
            Out->vm = Vm.Text;
            Out->until_ms = Entry.Until.Value;
            News.leaving.push_back(std::move(Out));
          }
      });
    PeerLink->SentUpTo = UpTo;
    bool Empty = News.heartbeats.empty() && News.peers.empty() &&
                 News.health.empty() && News.leaving.empty();
    if (!Empty)
      this->send(*PeerLink,
                 makeFrame(this->Tables.Clock.tick(SystemClock{}.wall()),
                           std::move(News)));
  }
}

void PeerExchange::send(Link &To, const wire::FrameT &Frame) {
  if (!To.Socket->send(Frame)) {
    To.Open = false;
    To.Socket->shutdown();
  }
}

/// Adapts the heartbeat interval and the liveness timeout to the number of
/// daemons. Gossip needs more hops in larger data centres, so the timeout
/// grows.
void PeerExchange::updateTimeouts(TimePoint Now) {
  std::size_t LocalCount = this->Tables.controllers(Now).size();
  long Hops = LocalCount <= SmallDataCentreSize
                  ? 0
                  : std::lround(std::sqrt(static_cast<double>(LocalCount)));
  // Bounds the rate of heartbeats of all daemons together.
  Millis Configured = this->Tables.Config.HeartbeatInterval;
  Millis Interval = std::max(
      Configured, static_cast<std::int64_t>(this->Tables.members(Now).size()) *
                      HeartbeatIntervalPerMember);
  this->EffectiveHeartbeatInterval = Interval;
  Millis LivenessTimeout =
      std::max(Millis(600), LivenessHeartbeats * Interval + Hops * Configured);
  this->Tables.Peers.write(
      [&](PeerTable &Rows) { Rows.LivenessTimeout = LivenessTimeout; });
}

void PeerExchange::tick(TimePoint Now) {
  ++this->Rounds;
  // 1. Detect lost daemons.
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
  // 2. Send changes and, if due, a heartbeat.
  bool Due =
      Now - this->LastHeartbeat >= this->EffectiveHeartbeatInterval.load();
  if (Due)
    this->LastHeartbeat = Now;
  this->flush(Now, Due);
  // 3. Update links, and request records.
  this->updateLinks(Now);
  this->requestRecords(Now);
  this->requestVms();
  this->removeStaleHealth();
  std::lock_guard Lock(this->Mutex);
  std::erase_if(this->Links,
                [](const LinkRef &PeerLink) { return !PeerLink->Open; });
}

/// Removes the health of groups that no longer exist.
void PeerExchange::removeStaleHealth() {
  std::vector<Fence> Removed;
  this->Tables.State.read([&](const FoldState &State) {
    this->Tables.Health.read([&](const HealthTable &Rows) {
      // The health of a group may arrive before the record that forms it.
      for (const auto &[Id, Row] : Rows.rows())
        if (Id.Value <= State.next().Value && !State.group(Id))
          Removed.push_back(Id);
    });
  });
  if (!Removed.empty())
    this->Tables.Health.write([&](HealthTable &Rows) {
      for (Fence Id : Removed)
        Rows.remove(Id);
    });
}

/// Opens the links selected by chooseLinks(), and closes those no longer
/// needed.
void PeerExchange::updateLinks(TimePoint Now) {
  std::vector<LinkRef> Open = this->openLinks();
  std::vector<NodeHash> Wanted =
      chooseLinks(this->Tables.Self.Hash, this->Tables.members(Now));
  auto Linked = [&](NodeHash Node) {
    return std::any_of(Open.begin(), Open.end(), [&](const LinkRef &PeerLink) {
      return PeerLink->Other == Node;
    });
  };
  // 1. Find selected peers without a link.
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
  // 2. Add one seed that is not known to be alive: a network partition may have
  // ended.
  const auto &Seeds = this->Tables.Config.Peers;
  if (!Seeds.empty() && (Open.empty() || this->Rounds % 4 == 0))
    for (std::size_t I = 0; I < Seeds.size(); ++I) {
      const Endpoint &Seed = Seeds[this->NextSeed++ % Seeds.size()];
      bool IsKnown =
          std::any_of(Known.begin(), Known.end(), [&](const Endpoint &Where) {
            return Where.text() == Seed.text();
          });
      if (IsKnown || Seed.text() == this->Tables.Config.PeerListen.text())
        continue;
      Targets.push_back(Seed);
      break;
    }
  for (const Endpoint &Where : Targets)
    if (this->Dialing < static_cast<int>(MaxConcurrentDials))
      this->dial(Where);
  // 3. Close links that this daemon opened and no longer needs.
  for (const LinkRef &PeerLink : Open)
    if (PeerLink->Dialed && Now - PeerLink->Since > UnwantedLinkTimeout &&
        std::find(Wanted.begin(), Wanted.end(), PeerLink->Other) ==
            Wanted.end()) {
      PeerLink->Open = false;
      PeerLink->Socket->shutdown();
    }
}

/// Connects to a peer and runs the link on a thread of its own.
void PeerExchange::dial(const Endpoint &Where) {
  ++this->Dialing;
  std::lock_guard Lock(this->Mutex);
  auto Done = std::make_shared<std::atomic<bool>>(false);
  std::jthread Thread([this, Where, Done] {
    auto Socket = FrameSocket::dial(Where.Host, Where.Port,
                                    this->Tables.Config.ConnectTimeout);
    LinkRef PeerLink;
    if (Socket.ok() && !this->Closing) {
      PeerLink = std::make_shared<Link>();
      PeerLink->Id = this->NextLink++;
      PeerLink->Dialed = true;
      PeerLink->Socket =
          std::make_unique<FrameSocket>(*Socket, this->Tables.Counters);
      // Each end sends its own row first.
      wire::GossipT Hello;
      Hello.peers.push_back(std::make_unique<wire::PeerRowT>(this->ownRow()));
      this->send(*PeerLink,
                 makeFrame(this->Tables.Clock.tick(SystemClock{}.wall()),
                           std::move(Hello)));
    }
    --this->Dialing;
    if (PeerLink)
      this->runLink(PeerLink);
    *Done = true;
  });
  // Joins only threads that have ended, so this does not block.
  std::erase_if(this->Dialers,
                [](const Dialer &Row) { return Row.Done->load(); });
  this->Dialers.push_back({std::move(Done), std::move(Thread)});
}

void PeerExchange::serveConnection(const Poco::Net::StreamSocket &Socket) {
  auto PeerLink = std::make_shared<Link>();
  PeerLink->Id = this->NextLink++;
  PeerLink->Socket =
      std::make_unique<FrameSocket>(Socket, this->Tables.Counters);
  absl::StatusOr<wire::FrameT> First =
      PeerLink->Socket->receive(FirstFrameTimeout);
  if (!First.ok() || this->Closing)
    return;
  this->Tables.Clock.merge(First->clock);
  if (const auto *Request = First->message.AsForward()) {
    this->OnForward(*PeerLink->Socket, *Request);
    return;
  }
  const auto *Hello = First->message.AsGossip();
  if (!Hello || Hello->peers.empty() || this->linkCount() >= MaxLinks)
    return;
  wire::GossipT Response;
  Response.peers.push_back(std::make_unique<wire::PeerRowT>(this->ownRow()));
  this->send(*PeerLink, makeFrame(this->Tables.Clock.tick(SystemClock{}.wall()),
                                  std::move(Response)));
  this->receiveGossip(*PeerLink, *Hello);
  this->runLink(PeerLink);
}

/// Receives frames until the link closes.
void PeerExchange::runLink(const LinkRef &PeerLink) {
  PeerLink->Since = SystemClock{}.now();
  bool Added = false;
  while (PeerLink->Open && !this->Closing) {
    if (!Added && PeerLink->Other != NodeHash()) {
      std::lock_guard Lock(this->Mutex);
      this->Links.push_back(PeerLink);
      Added = true;
      this->Tables.GossipRequested.set();
    }
    absl::StatusOr<wire::FrameT> Frame =
        PeerLink->Socket->receive(LinkIdleTimeout);
    if (!Frame.ok())
      break;
    this->Tables.Clock.merge(Frame->clock);
    if (const auto *News = Frame->message.AsGossip())
      this->receiveGossip(*PeerLink, *News);
    else if (const auto *Request = Frame->message.AsRecordsWanted())
      this->sendRecords(*PeerLink, *Request);
    else if (const auto *Records = Frame->message.AsRecords())
      this->receiveRecords(*Records);
    else
      break;
  }
  PeerLink->Open = false;
  PeerLink->Socket->shutdown();
}

void PeerExchange::receiveGossip(Link &From, const wire::GossipT &News) {
  TimePoint Now = SystemClock{}.now();
  auto Mark = [&] {
    return ChangeMark{this->Tables.Changes.fetch_add(1) + 1, From.Id};
  };
  bool Urgent = false;
  std::vector<std::string> Joined;
  // 1. The first row of the first frame describes the other end.
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
      std::uint64_t &Known = From.KnownSequences[NodeHash(Beat.node())];
      Known = std::max<std::uint64_t>(Known, Beat.sequence());
    }
  }
  // 2. Health and leaving VMs, which are passed on at once.
  this->Tables.Vms.write([&](VmTable &Vms) {
    for (const auto &Row : News.leaving)
      Urgent |= Vms.recordLeaving(VmId(Row->vm), WallMs(Row->until_ms), Mark());
  });
  this->Tables.Health.write([&](HealthTable &Rows) {
    for (const auto &Row : News.health)
      Urgent |= Rows.put(Fence(Row->fence), {Row->version, NodeHash(Row->owner),
                                             Row->ready, Mark()});
  });
  // 3. Daemons and their heartbeats.
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
