// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/boot_clock.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace waycove {

/// A string identifier; each kind of identifier is a distinct type.
template <typename Tag> struct Name {
  std::string Text;

  Name() = default;
  explicit Name(std::string Value) : Text(std::move(Value)) {}
  // False positive in compiler-generated code. NOLINTNEXTLINE
  auto operator<=>(const Name &) const = default;
  bool empty() const { return this->Text.empty(); }
};

/// An unsigned number; each unit or kind of number is a distinct type.
template <typename Tag> struct Number {
  std::uint64_t Value = 0;

  constexpr Number() = default;
  constexpr explicit Number(std::uint64_t Initial) : Value(Initial) {}
  // False positive in compiler-generated code. NOLINTNEXTLINE
  auto operator<=>(const Number &) const = default;
  constexpr Number next() const { return Number(this->Value + 1); }
};

using VmId = Name<struct VmTag>;
using DataCentreId = Name<struct DataCentreTag>;
using RegionId = Name<struct RegionTag>;
using DomainId = Name<struct DomainTag>;
using WorkspaceId = Name<struct WorkspaceTag>;
using DeploymentId = Name<struct DeploymentTag>;
using ServiceId = Name<struct ServiceTag>;
using NodeId = Name<struct NodeTag>;
/// One run of a daemon process; a restart begins a new incarnation.
using IncarnationId = Name<struct IncarnationTag>;
using RequestId = Name<struct RequestTag>;
using IdempotencyKey = Name<struct KeyTag>;

/// Position of a record in a log of the platform's store.
using Offset = Number<struct OffsetTag>;
/// Number of times that the platform's store was restored from a backup. A
/// restore loses all writes acknowledged since the backup, and their offsets
/// are reused. Zero if the store does not report it.
using StoreEra = Number<struct StoreEraTag>;
/// A position in one of the store's logs, ordered by era first. Offsets are
/// comparable only within an era, because a restore reuses them.
struct StorePosition {
  StoreEra Era;
  Offset At;
  constexpr StorePosition() = default;
  constexpr StorePosition(StoreEra InEra, Offset AtOffset)
      : Era(InEra), At(AtOffset) {}
  // False positive in compiler-generated code. NOLINTNEXTLINE
  auto operator<=>(const StorePosition &) const = default;
  constexpr StorePosition next() const { return {this->Era, this->At.next()}; }
};
/// Packs an era and an offset into one increasing number: 24 bits of era and 40
/// bits of offset. In era 0 it equals the offset.
constexpr unsigned EraShift = 40;
constexpr std::uint64_t packPosition(StoreEra Era, std::uint64_t Count) {
  return (Era.Value << EraShift) | Count;
}
constexpr StoreEra eraOf(std::uint64_t Packed) {
  return StoreEra(Packed >> EraShift);
}
constexpr StoreEra eraOf(Offset Packed) { return eraOf(Packed.Value); }
/// Returns the offset part of a packed position.
constexpr std::uint64_t withoutEra(std::uint64_t Packed) {
  return Packed & ((std::uint64_t(1) << EraShift) - 1);
}
/// Version that the writer of a value in the store assigns to it; zero if it
/// does not. Unlike an offset, it is never reused.
using ValueVersion = Number<struct ValueVersionTag>;
/// Offset of the record that formed a group, which also identifies the group.
/// Zero means no group.
using Fence = Number<struct FenceTag>;
using Slot = Number<struct SlotTag>;
using Tokens = Number<struct TokensTag>;
/// Milliseconds since the Unix epoch.
using WallMs = Number<struct WallTag>;
/// One run of a VM's process. A VM may restart under the same id and then has
/// none of its earlier state.
struct VmIncarnation {
  VmId Id;
  /// Start time; zero if the VM does not report it.
  WallMs StartedAt;
  // False positive in compiler-generated code. NOLINTNEXTLINE
  auto operator<=>(const VmIncarnation &) const = default;
};

/// Hash of a request's path, caller and body. All attempts of a request have
/// the same hash, on every node.
using ContentHash = Number<struct ContentHashTag>;

/// Hash of a node's name and incarnation.
using NodeHash = Number<struct NodeHashTag>;

using Millis = std::chrono::milliseconds;
/// A time on this machine's boot clock; not comparable between machines.
using TimePoint = BootClock::time_point;

/// Deterministic 64-bit hash, the same on every node.
std::uint64_t hashText(const std::string &Text, std::uint64_t Seed = 0);
/// Combines two hashes.
std::uint64_t mixHash(std::uint64_t Left, std::uint64_t Right);
/// Returns a random 128-bit identifier in hexadecimal.
std::string randomId();

} // namespace waycove

template <typename Tag> struct std::hash<waycove::Name<Tag>> {
  std::size_t operator()(const waycove::Name<Tag> &Id) const {
    return std::hash<std::string>{}(Id.Text);
  }
};

template <typename Tag> struct std::hash<waycove::Number<Tag>> {
  std::size_t operator()(const waycove::Number<Tag> &Id) const {
    return std::hash<std::uint64_t>{}(Id.Value * 0x9E3779B97F4A7C15ULL);
  }
};
