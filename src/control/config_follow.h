// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/keyed_feed.h"
#include "control/serving.h"

namespace waycove {

/// Follows the operators' routing configuration, brings each newer version in
/// force, never an older one, and proves by each read that the one in force is
/// current. \p Decode makes a configuration of a record's value.
template <KeyedFeed Feed, typename Decoder> class ConfigFollower {
public:
  ConfigFollower(EntryBoard &Board, Feed &Source, Decoder Decode)
      : Board(Board), Source(Source), Decode(std::move(Decode)) {}

  /// One read; how long to pause before the next.
  Millis step() {
    absl::StatusOr<KeyedPage> Page = this->Source.read(this->pollTime());
    if (!Page.ok())
      return this->onFailure(Page.status());
    this->Waits.reset();
    this->noteUp(true, "");
    for (const KeyedRecord &Row : Page->Records)
      if (Row.Key == Decoder::Key && Row.Value)
        this->apply(*Row.Value);
    if (this->Board.Routing.read(
            [](const RoutingConfigRef &Row) { return Row != nullptr; }))
      this->Board.ConfigFresh.renew(
          Page->ProvenAt, this->Board.Config.Entry->RevokeBound - ProofMargin);
    return Millis(0);
  }

private:
  /// A read takes this part of the revocation bound at most. A proof counts
  /// from when its read was sent, and the next one comes when the read after it
  /// has ended: two reads, the margin below and slow answers have to fit into
  /// the bound, at the shortest bound in use (1.5 s) with 0.45 s for answers.
  static constexpr double PollPart = 0.3;
  /// For the time between the last check and the target's reading.
  static constexpr Millis ProofMargin{150};

  Millis pollTime() const {
    return Millis(static_cast<std::int64_t>(
        PollPart *
        static_cast<double>(this->Board.Config.Entry->RevokeBound.count())));
  }

  Millis onFailure(const absl::Status &Why) {
    if (kindOf(Why) == ErrorKind::NotFound)
      return Millis(0);
    this->noteUp(false, messageOf(Why));
    return this->Waits.next();
  }

  void noteUp(bool Answers, const std::string &Reason) {
    bool Proven = this->Board.ConfigFresh.holds(SystemClock{}.now());
    if (Answers != this->Up)
      this->Board.Log.emit(
          Answers ? EventCode::LogReachable : EventCode::LogUnreachable,
          Decoder::Key,
          LogFields().add("reason", Reason).add("config_proven", Proven));
    this->Up = Answers;
    if (!Proven && this->WasProven)
      this->Board.Log.emit(EventCode::ConfigUnproven, Decoder::Key,
                           LogFields().add("reason", Reason));
    if (Proven && !this->WasProven)
      this->Board.Log.emit(EventCode::ConfigProven, Decoder::Key);
    this->WasProven = Proven;
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
      if (Row && Config->Version <= Row->Version)
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
  Backoff Waits;
  bool Up = true;
  bool WasProven = false;
};

} // namespace waycove
