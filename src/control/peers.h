// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/record_folder.h"
#include "wire/frame.h"

#include <Poco/Net/TCPServer.h>
#include <functional>
#include <list>
#include <thread>

namespace waycove {

/// Handles a connection on which a peer forwards a request.
using ForwardHandler =
    std::function<void(FrameSocket &, const wire::ForwardT &)>;

/// Exchanges membership and health between daemons by gossip, over a bounded
/// number of links. Each link gets the rows that changed since the previous
/// message on it. Also sends records of the log to daemons that cannot read it.
/// The result is a best guess of which daemons are alive; nothing that must be
/// unique is decided here.
class PeerExchange {
public:
  PeerExchange(Board &Tables, RecordFolder &Fold, ForwardHandler OnForward);
  ~PeerExchange();
  PeerExchange(const PeerExchange &) = delete;
  PeerExchange &operator=(const PeerExchange &) = delete;

  /// Listens for peers; throws Poco::Exception where the port is taken.
  void start();
  /// Runs one round: heartbeat, changes, links, records. The controller's loop
  /// calls it every heartbeat interval, and flush() in between for urgent
  /// changes.
  void tick(TimePoint Now);
  /// Sends pending changes on all links.
  void flush(TimePoint Now, bool WithHeartbeat);
  std::size_t linkCount() const;

  /// Serves a new connection of the listener until it closes.
  void serveConnection(const Poco::Net::StreamSocket &Socket);

private:
  /// Connection to another daemon.
  struct Link {
    std::uint64_t Id = 0;
    std::unique_ptr<FrameSocket> Socket;
    NodeHash Other;
    DataCentreId Centre;
    /// Opened by this daemon.
    bool Dialed = false;
    TimePoint Since;
    std::atomic<bool> Open{true};
    /// Count of the newest change that was sent.
    std::uint64_t SentUpTo = 0;
    /// A heartbeat of this daemon was sent on it.
    bool HasHeartbeat = false;
    /// When records were last requested.
    TimePoint RequestedAt;
    /// Guards KnownSequences.
    std::mutex Mutex;
    /// Newest heartbeat of each daemon that the other end is known to have.
    std::unordered_map<NodeHash, std::uint64_t> KnownSequences;
  };
  using LinkRef = std::shared_ptr<Link>;

  wire::PeerRowT ownRow() const;
  std::uint32_t ownFlags() const;
  wire::Heartbeat ownHeartbeat();
  wire::GossipT gossipFor(Link &To, TimePoint Now);
  void addHeartbeats(Link &To, TimePoint Now, wire::GossipT &News);
  void updateTimeouts(TimePoint Now);
  void updateLinks(TimePoint Now);
  void dial(const Endpoint &Where);
  void runLink(const LinkRef &PeerLink);
  void receiveGossip(Link &From, const wire::GossipT &News);
  void receiveRecords(const wire::RecordsT &Rows);
  void sendRecords(Link &To, const wire::RecordsWantedT &Request);
  std::vector<std::unique_ptr<wire::VmRowT>> vmRows(std::uint64_t &Version);
  void receiveVms(const wire::RecordsT &Rows);
  void requestVms();
  void requestRecords(TimePoint Now);
  void removeStaleHealth();
  std::vector<LinkRef> openLinks() const;
  static void send(Link &To, const wire::FrameT &Frame);

  Board &Tables;
  RecordFolder &Fold;
  ForwardHandler OnForward;
  std::unique_ptr<Poco::Net::TCPServer> Server;
  mutable std::mutex Mutex;
  std::list<LinkRef> Links;
  struct Dialer {
    std::shared_ptr<std::atomic<bool>> Done;
    std::jthread Thread;
  };
  std::vector<Dialer> Dialers;
  std::atomic<std::uint64_t> NextLink{1};
  std::atomic<std::uint64_t> HeartbeatCount{0};
  std::atomic<std::uint32_t> SentFlags{0};
  std::atomic<int> Dialing{0};
  std::atomic<bool> Closing{false};
  std::atomic<Millis> EffectiveHeartbeatInterval;
  TimePoint LastHeartbeat;
  std::size_t NextSeed = 0;
  std::uint64_t Rounds = 0;
};

} // namespace waycove
