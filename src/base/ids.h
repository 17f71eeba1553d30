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

/// A textual name that cannot be mixed up with a name of another kind.
template <typename Tag> struct Name {
  std::string Text;

  Name() = default;
  explicit Name(std::string Value) : Text(std::move(Value)) {}
  // The comparison that the compiler makes is no text of ours. NOLINTNEXTLINE
  auto operator<=>(const Name &) const = default;
  bool empty() const { return this->Text.empty(); }
};

/// A number that cannot be mixed up with a number of another unit.
template <typename Tag> struct Number {
  std::uint64_t Value = 0;

  constexpr Number() = default;
  constexpr explicit Number(std::uint64_t Initial) : Value(Initial) {}
  // The comparison that the compiler makes is no text of ours. NOLINTNEXTLINE
  auto operator<=>(const Number &) const = default;
  constexpr Number next() const { return Number(this->Value + 1); }
};

using VmId = Name<struct VmTag>;
using DataCentreId = Name<struct DataCentreTag>;
using DomainId = Name<struct DomainTag>;
using WorkspaceId = Name<struct WorkspaceTag>;
using DeploymentId = Name<struct DeploymentTag>;
using ServiceId = Name<struct ServiceTag>;
using NodeId = Name<struct NodeTag>;
/// One life of a daemon process: a restart is another incarnation.
using IncarnationId = Name<struct IncarnationTag>;
using RequestId = Name<struct RequestTag>;
using IdempotencyKey = Name<struct KeyTag>;

/// Position of a record in the platform's log.
using Offset = Number<struct OffsetTag>;
/// How often the platform's store came back from an older copy of itself. What
/// it had acknowledged since that copy is lost then, and its offsets are given
/// out again. Zero where the store does not tell.
using StoreEra = Number<struct StoreEraTag>;
/// A place in one of the store's logs. Offsets compare within an era alone:
/// after a restore the same ones stand for other records, so a later era is
/// ahead of all that was known before, however small its offsets are.
struct StorePosition {
  StoreEra Era;
  Offset At;
  constexpr StorePosition() = default;
  constexpr StorePosition(StoreEra Since, Offset Where)
      : Era(Since), At(Where) {}
  // The comparison that the compiler makes is no text of ours. NOLINTNEXTLINE
  auto operator<=>(const StorePosition &) const = default;
  constexpr StorePosition next() const { return {this->Era, this->At.next()}; }
};
/// Both in one number that only grows, for what counts along a log: a trillion
/// records in each of 16 million eras. In the first era it is the offset.
constexpr unsigned EraShift = 40;
constexpr std::uint64_t packPosition(StoreEra Era, std::uint64_t Count) {
  return (Era.Value << EraShift) | Count;
}
constexpr StoreEra eraOf(std::uint64_t Packed) {
  return StoreEra(Packed >> EraShift);
}
constexpr StoreEra eraOf(Offset Packed) { return eraOf(Packed.Value); }
/// The count within the era.
constexpr std::uint64_t withoutEra(std::uint64_t Packed) {
  return Packed & ((std::uint64_t(1) << EraShift) - 1);
}
/// What the writer of a value in the store numbers it by; zero where it does
/// not. Unlike an offset it is never given out again.
using ValueVersion = Number<struct ValueVersionTag>;
/// Offset of the record that formed a group; it is also the group's identity.
/// Zero stands for "no group".
using Fence = Number<struct FenceTag>;
using Slot = Number<struct SlotTag>;
using Tokens = Number<struct TokensTag>;
/// Milliseconds since the Unix epoch, as written into records.
using WallMs = Number<struct WallTag>;
/// One life of a VM's process. A VM may start again under its id: it holds
/// nothing then of what the life before held, and knows nothing of it.
struct VmIncarnation {
  VmId Id;
  /// When it started; zero where the VM does not tell.
  WallMs StartedAt;
  // The comparison that the compiler makes is no text of ours. NOLINTNEXTLINE
  auto operator<=>(const VmIncarnation &) const = default;
};

/// Hash of what a caller asks for: path, caller and body. A request that comes
/// again, as another attempt or at another node, has the same.
using ContentHash = Number<struct ContentHashTag>;

/// Hash of a node's name and incarnation, as heartbeats carry it.
using NodeHash = Number<struct NodeHashTag>;

using Millis = std::chrono::milliseconds;
/// A moment by this machine's clock; compared with no other machine's.
using TimePoint = BootClock::time_point;

/// Deterministic 64-bit hash, the same on every node.
std::uint64_t hashText(const std::string &Text, std::uint64_t Seed = 0);
/// Mixes two hashes into one.
std::uint64_t mixHash(std::uint64_t Left, std::uint64_t Right);
/// A random 128-bit identifier in hexadecimal.
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
