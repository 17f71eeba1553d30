// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/keyed_feed.h"
#include "control/restore_wait.h"
#include "control/serving.h"

namespace waycove {

/// Follows the operators' routing configuration, brings each newer version in
/// force, never an older one, and proves by each read that the one in force is
/// current. \p Decode makes a configuration of a record's value.
template <KeyedFeed Feed, typename Decoder> class ConfigFollower {
public:
  ConfigFollower(EntryBoard &Board, Feed &Source, Decoder Decode)
      : Board(Board), Source(Source), Decode(std::move(Decode)),
        Wait(Board.Config.Entry->RevokeBound) {}

  /// Takes in what is new; waits for that a while.
  void step() {
    absl::StatusOr<KeyedPage> Page = this->Source.read(this->waitTime());
    if (Page.ok())
      this->take(*Page);
    this->noteProof();
  }

private:
  /// Part of the revocation bound after which it is looked whether the proof
  /// has ended.
  static constexpr double WaitPart = 0.1;
  /// For the time between the last check and the target's reading.
  static constexpr Millis ProofMargin{150};

  Millis waitTime() const {
    return EntryBoard::fractionOf(this->Board.Config.Entry->RevokeBound,
                                  WaitPart);
  }

  void take(const KeyedPage &Page) {
    this->noteLost(Page.Versions);
    for (const KeyedRecord &Row : Page.Records)
      if (Row.Key == Decoder::Key && Row.Value)
        this->apply(*Row.Value);
    bool Proves = this->Wait.isOver(Page, SystemClock{}.now());
    if (!Proves || this->inForce() == 0)
      return;
    // Nodes that start and are shown the older version only must not go by it.
    if (!Page.Versions.isLost())
      this->Board.feed(FeedKind::Config).settle(Page.Next.Era, Page.ProvenAt);
    this->Board.ConfigLease.renew(
        Page.ProvenAt, this->Board.Config.Entry->RevokeBound - ProofMargin);
  }

  /// Zero where no version is.
  std::uint64_t inForce() const {
    return this->Board.Routing.read(
        [](const RoutingConfigRef &Row) { return Row ? Row->Version : 0; });
  }

  /// A node that started after the store had lost the newest version found an
  /// older one there: no version is in force then, and nothing is served, until
  /// operators have written again.
  void noteLost(const VersionMarks &Versions) {
    bool Lost = Versions.isLost();
    this->Least = Lost ? Versions.Previous.Value : 0;
    if (std::exchange(this->WasLost, Lost) != Lost)
      this->Board.Log.emit(Lost ? EventCode::ConfigLost
                                : EventCode::ConfigWrittenAgain,
                           Decoder::Key,
                           LogFields()
                               .add("in_force", this->inForce())
                               .add("before", Versions.Previous.Value)
                               .add("shown", Versions.Current.Value));
    if (this->inForce() >= this->Least)
      return;
    this->Board.ConfigLease.drop();
    this->Board.Routing.write([](RoutingConfigRef &Row) { Row.reset(); });
    refreshServing(this->Board);
  }

  void noteProof() {
    bool Proven = this->Board.ConfigLease.holds(SystemClock{}.now());
    if (std::exchange(this->WasProven, Proven) != Proven)
      this->Board.Log.emit(Proven ? EventCode::ConfigProven
                                  : EventCode::ConfigUnproven,
                           Decoder::Key);
  }

  void apply(const std::string &Value) {
    absl::StatusOr<RoutingConfig> Read = this->Decode(Value);
    if (!Read.ok()) {
      this->Board.Log.emit(EventCode::ConfigRefused, Decoder::Key,
                           LogFields().add("reason", messageOf(Read.status())));
      return;
    }
    auto Config = std::make_shared<const RoutingConfig>(std::move(*Read));
    std::uint64_t Before = 0;
    bool Taken = this->Board.Routing.write([&](RoutingConfigRef &Row) {
      Before = Row ? Row->Version : 0;
      if (Config->Version < this->Least ||
          (Row && Config->Version <= Row->Version))
        return false;
      Row = Config;
      return true;
    });
    if (!Taken)
      return;
    this->Board.Counters.add(Counter::ConfigsApplied);
    this->Board.Log.emit(EventCode::ConfigApplied,
                         std::to_string(Config->Version),
                         LogFields()
                             .add("before", Before)
                             .add("routes", Config->routeCount())
                             .add("services", Config->Services.size())
                             .add("keys", Config->Keys.size()));
    refreshServing(this->Board);
  }

  EntryBoard &Board;
  FeedCursor<Feed> Source;
  Decoder Decode;
  RestoreWait Wait;
  bool WasProven = false;
  bool WasLost = false;
  /// No older version comes in force: the store lost this one.
  std::uint64_t Least = 0;
};

} // namespace waycove
