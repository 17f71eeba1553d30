// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/fleet.h"

#include <optional>
#include <vector>

namespace waycove {

/// Why a registry entry is considered stale.
enum class StaleReason {
  TargetRemoved,
  TargetLeaving,
  OlderSequence,
  EarlierLife
};

constexpr std::string_view staleReasonText(StaleReason Reason) {
  switch (Reason) {
  case StaleReason::TargetRemoved:
    return "its target had been removed";
  case StaleReason::TargetLeaving:
    return "its target was leaving";
  case StaleReason::EarlierLife:
    return "its target has started since";
  default:
    return "its target has written since";
  }
}

/// Stale entries: those that came back when the store was restored from an
/// older copy, though this node knows that their targets left or wrote a newer
/// entry since; and those with an earlier start than the one known. What is
/// known stays in use until the target writes again. A live target writes
/// within one heartbeat interval unless its entry is up to date, and the entry
/// of a dead target lapses after three intervals. An entry that is still listed
/// after that is therefore up to date and is used: a later start that was known
/// has been of another writer. The exception is a leaving target, which never
/// returns to service within an incarnation. Used by one thread.
class HeldEntries {
public:
  explicit HeldEntries(Millis Heartbeat)
      : Heartbeat(Heartbeat), HoldDuration(3 * Heartbeat) {}

  /// Why \p Read, which came back with a restore, is stale by what \p Known
  /// holds; nothing if it may be used.
  static std::optional<StaleReason> staleReasonOf(const TargetInfo &Read,
                                                  const Fleet &Known);
  /// Keeps \p Read, whose value has the hash \p Hash, out of use. An entry of
  /// an earlier life that its target changes is held no longer for that.
  void hold(TargetRef Read, std::uint64_t Hash, StaleReason Reason,
            TimePoint Now);
  /// Whether the entry of \p Id with this hash is held back.
  bool holds(const VmId &Id, std::uint64_t Hash) const;
  /// Forgets an entry whose target wrote again or that lapsed.
  void release(const VmId &Id) { this->Held.erase(Id); }
  /// Forgets all but \p Listed: the other entries have lapsed.
  void retainOnly(const std::set<VmId> &Listed);
  /// Removes and returns the entries that are to be used from now on, since
  /// they are still in the registry.
  std::vector<TargetRef> takeDue(TimePoint Now);
  Millis holdDuration() const { return this->HoldDuration; }

private:
  struct HeldEntry {
    TargetRef Entry;
    std::uint64_t Hash = 0;
    StaleReason Reason = StaleReason::TargetRemoved;
    /// Unset if the entry is never used.
    std::optional<TimePoint> Until;
  };
  /// When an entry that is held from \p Now on is to be used, if ever.
  std::optional<TimePoint> holdEnd(StaleReason Reason, TimePoint Now) const;

  const Millis Heartbeat;
  const Millis HoldDuration;
  std::map<VmId, HeldEntry> Held;
};

} // namespace waycove
