// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/keyed_feed.h"
#include "control/restore_wait.h"
#include "control/serving_view.h"

#include <algorithm>
#include <set>

namespace waycove {

/// Follows the operators' routing configuration and applies each newer version,
/// never an older one. Each successful read proves that the version in force is
/// current. \p Decode parses a record's value.
template <KeyedFeed Feed, typename Decoder> class ConfigFollower {
public:
  ConfigFollower(EntryBoard &Board, Feed &Source, Decoder Decode)
      : Board(Board), Source(Source), Decode(std::move(Decode)),
        Restore(Board.Config.Entry->RevokeBound) {}

  /// Applies what is new without waiting; returns the pause before the next
  /// step, which a change of the feed ends.
  Millis step() {
    applyNewPage(this->Source,
                 [this](const KeyedPage &Page) { this->applyPage(Page); });
    this->updateProof();
    return this->checkInterval();
  }

private:
  /// Interval, as a part of the revocation bound, at which the proof is checked
  /// for expiry.
  static constexpr double CheckPart = 0.1;
  /// Covers the time from the last check until the target reads the request.
  static constexpr Millis ProofMargin{150};

  Millis checkInterval() const {
    return EntryBoard::fractionOf(this->Board.Config.Entry->RevokeBound,
                                  CheckPart);
  }

  void applyPage(const KeyedPage &Page) {
    this->updateLost(Page.Versions);
    bool Proves = this->Restore.isOver(Page, SystemClock{}.now());
    this->updateEvacuations(Page, Proves);
    for (const KeyedRecord &Row : Page.Records)
      if (Row.Key == Decoder::Key && Row.Value)
        this->applyConfig(*Row.Value);
    if (!Proves || this->inForce() == 0)
      return;
    // Nodes that start and see only the older version must not use it.
    if (!Page.Versions.isLost())
      this->Board.feed(FeedKind::Config).settle(Page.Next.Era, Page.ProvenAt);
    this->Board.ConfigLease.renew(
        Page.ProvenAt, this->Board.Config.Entry->RevokeBound - ProofMargin);
  }

  /// Follows which data centres are evacuated. An evacuation that a restored
  /// store does not show stays in force until operators had time to write it
  /// again.
  void updateEvacuations(const KeyedPage &Page, bool Proves) {
    std::set<DataCentreId> Begun;
    if (Page.IsSnapshot)
      this->Vanished = this->Board.Evacuated.read(
          [](const Evacuations &Row) { return Row.current(); });
    for (const KeyedRecord &Row : Page.Records) {
      std::optional<DataCentreId> Centre = Decoder::evacuatedCentre(Row.Key);
      if (!Centre)
        continue;
      if (Row.Value) {
        Begun.insert(*Centre);
        this->Vanished.erase(*Centre);
      } else {
        this->Vanished.insert(*Centre);
      }
    }
    std::set<DataCentreId> Ended =
        Proves ? std::exchange(this->Vanished, {}) : std::set<DataCentreId>();
    this->applyEvacuations(Begun, Ended);
  }

  void applyEvacuations(const std::set<DataCentreId> &Begun,
                        const std::set<DataCentreId> &Ended) {
    bool Changed = false;
    for (const DataCentreId &Centre : Begun)
      if (this->Board.Evacuated.write(
              [&](Evacuations &Row) { return Row.begin(Centre); })) {
        Changed = true;
        this->Board.Log.emit(
            EventCode::EvacuationBegun, Centre.Text,
            LogFields().add(
                "known", this->Board.Config.Entry->Regions.contains(Centre)));
      }
    for (const DataCentreId &Centre : Ended)
      if (this->Board.Evacuated.write([&](Evacuations &Row) {
            return Row.end(Centre, SystemClock{}.now());
          })) {
        Changed = true;
        this->Board.Log.emit(EventCode::EvacuationEnded, Centre.Text);
      }
    if (Changed)
      rebuildServingView(this->Board);
  }

  /// Version in force; zero if there is none.
  std::uint64_t inForce() const {
    return this->Board.Routing.read(
        [](const RoutingConfigRef &Row) { return Row ? Row->Version : 0; });
  }

  /// Handles the loss of the newest version by a restore of the store. A node
  /// without that version has none in force, and serves nothing, until
  /// operators have written again. A node that has it keeps it in force;
  /// RestoreWait decides when it counts as current again.
  void updateLost(const VersionMarks &Versions) {
    bool IsLost = Versions.isLost();
    this->MinVersion = IsLost ? Versions.Previous.Value : 0;
    if (std::exchange(this->WasLost, IsLost) != IsLost)
      this->Board.Log.emit(IsLost ? EventCode::ConfigLost
                                  : EventCode::ConfigWrittenAgain,
                           Decoder::Key,
                           LogFields()
                               .add("in_force", this->inForce())
                               .add("before", Versions.Previous.Value)
                               .add("shown", Versions.Current.Value));
    if (this->inForce() >= this->MinVersion)
      return;
    this->Board.ConfigLease.drop();
    this->Board.Routing.write([](RoutingConfigRef &Row) { Row.reset(); });
    rebuildServingView(this->Board);
  }

  void updateProof() {
    bool IsProven = this->Board.ConfigLease.holds(SystemClock{}.now());
    if (std::exchange(this->WasProven, IsProven) != IsProven)
      this->Board.Log.emit(IsProven ? EventCode::ConfigProven
                                    : EventCode::ConfigUnproven,
                           Decoder::Key);
  }

  void applyConfig(const std::string &Value) {
    absl::StatusOr<RoutingConfig> Read = this->Decode(Value);
    if (!Read.ok()) {
      this->Board.Log.emit(EventCode::ConfigRefused, Decoder::Key,
                           LogFields().add("reason", messageOf(Read.status())));
      return;
    }
    auto Config = std::make_shared<const RoutingConfig>(std::move(*Read));
    std::uint64_t Before = 0;
    bool Applied = this->Board.Routing.write([&](RoutingConfigRef &Row) {
      Before = Row ? Row->Version : 0;
      if (Config->Version < this->MinVersion ||
          (Row && Config->Version <= Row->Version))
        return false;
      Row = Config;
      return true;
    });
    if (Applied)
      this->onApplied(*Config, Before);
    if (!this->ViewIsOld)
      return;
    rebuildServingView(this->Board);
    this->ViewIsOld = false;
  }

  void onApplied(const RoutingConfig &Config, std::uint64_t Before) {
    this->ViewIsOld = true;
    this->Board.Counters.add(Counter::ConfigsApplied);
    this->Board.Log.emit(EventCode::ConfigApplied,
                         std::to_string(Config.Version),
                         LogFields()
                             .add("before", Before)
                             .add("routes", Config.routeCount())
                             .add("services", Config.Services.size())
                             .add("keys", Config.Keys.size())
                             .add("routes_without_region",
                                  this->countRoutesWithoutRegion(Config)));
  }

  /// Number of routes that no known data centre may serve.
  std::size_t countRoutesWithoutRegion(const RoutingConfig &Config) const {
    const auto &Regions = this->Board.Config.Entry->Regions;
    return Config.countRoutes([&](const HttpRoute &Route) {
      return std::none_of(Regions.begin(), Regions.end(), [&](const auto &Row) {
        return mayRunIn(Route, nullptr, Row.second);
      });
    });
  }

  EntryBoard &Board;
  FeedCursor<Feed> Source;
  Decoder Decode;
  RestoreWait Restore;
  /// Evacuations that the store no longer shows, but are still in force.
  std::set<DataCentreId> Vanished;
  /// The serving view was not built since the version in force was applied.
  bool ViewIsOld = false;
  bool WasProven = false;
  bool WasLost = false;
  /// Versions below this one, which the store lost, are not applied.
  std::uint64_t MinVersion = 0;
};

} // namespace waycove
