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

/// Handles a connection whose first frame asks for a request to be served.
using ForwardHandler =
    std::function<void(FrameSocket &, const wire::ForwardT &)>;

/// Membership and news between daemons, over a bounded number of links: each
/// link is sent the rows that changed since it was last sent any. Records of
/// the log are passed on to daemons that cannot read it. Nothing here decides
/// anything that must be unique; it only says who seems to be there.
class PeerExchange {
public:
  PeerExchange(Board &Tables, RecordFolder &Fold, ForwardHandler OnForward);
  ~PeerExchange();
  PeerExchange(const PeerExchange &) = delete;
  PeerExchange &operator=(const PeerExchange &) = delete;

  /// Listens for peers; throws Poco::Exception where the port is taken.
  void start();
  /// One round: heartbeat, deltas, links, records. The controller's loop calls
  /// it each heartbeat period, and flush() in between where news is urgent.
  void tick(TimePoint Now);
  /// Sends all links what changed.
  void flush(TimePoint Now, bool WithHeartbeat);
  std::size_t linkCount() const;

  /// Called by the listener with each new connection.
  void serveConnection(const Poco::Net::StreamSocket &Socket);

private:
  struct Link {
    std::uint64_t Id = 0;
    std::unique_ptr<FrameSocket> Socket;
    NodeHash Other;
    DataCentreId Centre;
    bool Dialed = false;
    TimePoint Since;
    std::atomic<bool> Open{true};
    std::uint64_t SentUpTo = 0;
    TimePoint RequestedAt;
    /// Newest heartbeat of each daemon that the other end is known to have.
    std::mutex Mutex;
    std::unordered_map<NodeHash, std::uint64_t> Has;
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
  void runLink(const LinkRef &Row);
  void receiveGossip(Link &From, const wire::GossipT &News);
  void receiveRecords(const wire::RecordsT &Rows);
  void sendRecords(Link &To, const wire::RecordsWantedT &Asked);
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
