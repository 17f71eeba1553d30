// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/shared_sight.h"
#include "wire/frame.h"
#include "wire/news_frames.h"

#include <Poco/Net/TCPServer.h>
#include <array>
#include <limits>
#include <memory>

namespace waycove {

/// In a question, where a node knows nothing of a feed.
constexpr StorePosition NothingKnown{
    StoreEra(), Offset(std::numeric_limits<std::uint64_t>::max())};

/// Answers other nodes that ask this one for news: what changed in each feed
/// since the position that they name, as far as they may rely on this node for
/// it (EntryBoard::canServeFeed).
class NewsServer {
public:
  NewsServer(EntryBoard &Board, SharedSight &Sight)
      : Board(Board), Sight(Sight) {}
  ~NewsServer();
  NewsServer(const NewsServer &) = delete;
  NewsServer &operator=(const NewsServer &) = delete;

  /// Listens for other nodes; throws Poco::Exception where the port is taken.
  void start();
  /// Answers the questions on a connection until it ends.
  void serve(const Poco::Net::StreamSocket &Socket);

private:
  wire::NewsT answer(const wire::NewsWantedT &Question);
  std::unique_ptr<wire::FeedNewsT>
  responseFor(std::size_t Feed, const wire::NewsWantedT &Question,
              TimePoint Now);
  std::unique_ptr<wire::FeedNewsT> newsOf(FeedKind Kind, StorePosition From,
                                          TimePoint Now);

  EntryBoard &Board;
  SharedSight &Sight;
  std::mutex Mutex;
  /// By FeedKind; under Mutex.
  std::array<FeedPacker, static_cast<std::size_t>(FeedKind::Count)> Packers;
  std::unique_ptr<Poco::Net::TCPServer> Server;
};

} // namespace waycove
