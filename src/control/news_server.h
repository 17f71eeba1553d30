// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/connection_server.h"
#include "control/seed_service.h"
#include "control/shared_observations.h"
#include "wire/frame.h"
#include "wire/news_frames.h"

#include <array>
#include <limits>
#include <memory>

namespace waycove {

/// Position in a request of a node that knows nothing of a feed.
constexpr StorePosition UnknownPosition{
    StoreEra(), Offset(std::numeric_limits<std::uint64_t>::max())};

/// Responds to requests of other nodes with the changes of each feed since the
/// position that they name, as far as they may rely on this node for it
/// (EntryBoard::canServeFeed).
class NewsServer {
public:
  /// Serves a request for a way to a target over the connection, which ends
  /// then.
  using WayHandler = std::function<void(FrameSocket &, const wire::ForwardT &)>;

  NewsServer(EntryBoard &Board, SharedObservations &Observations,
             ConnectionResources Shared, WayHandler OnWayWanted = {});
  NewsServer(const NewsServer &) = delete;
  NewsServer &operator=(const NewsServer &) = delete;

  /// Listens for other nodes; throws Poco::Exception if the port is in use.
  void start();

private:
  /// A node's connection; see ServedConnection.
  class Connection {
  public:
    Connection(NewsServer &Owner, const Poco::Net::StreamSocket &Socket)
        : Owner(Owner), Link(Socket, Owner.Board.Counters) {}
    /// The other node connects again, or to another one, if this one ends.
    bool serve(TimePoint ReadableSince);
    bool hasInput() const { return this->Link.hasInput(); }
    Millis idleTimeout() const { return IdleTimeout; }

  private:
    /// A connection without a request for this long is closed.
    static constexpr Millis IdleTimeout{5000};
    /// How long the rest of a request may take.
    static constexpr Millis RequestTimeout{3000};

    NewsServer &Owner;
    FrameSocket Link;
  };

  /// The frame that responds to a request; nothing for other frames.
  std::optional<wire::FrameT> responseTo(const wire::FrameT &Frame);
  wire::NewsT respond(const wire::NewsWantedT &Request);
  std::unique_ptr<wire::FeedNewsT>
  feedResponse(std::size_t Feed, const wire::NewsWantedT &Request,
               TimePoint Now);
  std::unique_ptr<wire::FeedNewsT> feedNews(FeedKind Kind, StorePosition From,
                                            TimePoint Now);

  EntryBoard &Board;
  SharedObservations &Observations;
  const WayHandler OnWayWanted;
  SeedService Seed;
  std::mutex Mutex;
  /// By FeedKind; guarded by Mutex.
  std::array<FeedPacker, static_cast<std::size_t>(FeedKind::Count)> Packers;
  ConnectionServer<Connection> Connections;
};

} // namespace waycove
