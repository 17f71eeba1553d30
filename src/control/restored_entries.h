// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/fleet.h"

#include <optional>
#include <vector>

namespace waycove {

/// Why an entry that a restore of the store brought back is not used.
enum class StaleReason { Gone, Leaving, Older };

constexpr std::string_view staleReasonText(StaleReason Doubt) {
  switch (Doubt) {
  case StaleReason::Gone:
    return "its target had gone";
  case StaleReason::Leaving:
    return "its target was leaving";
  default:
    return "its target has written since";
  }
}

/// Entries of targets that the store brought back with an older copy of itself
/// and that this node knows better: its target had left since, or has written a
/// later one. What is known stays in use until the target writes again. A
/// target that lives does so within a heartbeat, unless what it has to say is
/// what the copy says; one that does not lapses after three. So after three an
/// entry that is still there holds, but for a target that said it was leaving:
/// that is never taken back within a life. Used by one thread.
class RestoredEntries {
public:
  explicit RestoredEntries(Millis Heartbeat) : HoldTime(3 * Heartbeat) {}

  /// What speaks against \p Read, which the store brought back, by \p Known;
  /// nothing where it may be used.
  static std::optional<StaleReason> staleReasonOf(const TargetInfo &Read,
                                                  const Fleet &Known);
  /// Leaves \p Read, whose value's hash is \p Hash, out of use.
  void hold(TargetRef Read, std::uint64_t Hash, StaleReason Doubt,
            TimePoint Now);
  /// Whether the entry of \p Id is one that is held, and not a new one.
  bool holds(const VmId &Id, std::uint64_t Hash) const;
  /// Its target has written again, or it lapsed.
  void release(const VmId &Id) { this->Rows.erase(Id); }
  /// All that the registry lists is read: others than \p Listed have lapsed.
  void retainOnly(const std::set<VmId> &Listed);
  /// Those that hold from now on: they are still in the registry.
  std::vector<TargetRef> takeDue(TimePoint Now);
  Millis holdDuration() const { return this->HoldTime; }

private:
  struct Row {
    TargetRef Entry;
    std::uint64_t Hash = 0;
    /// Nothing where the entry is never to be used.
    std::optional<TimePoint> Until;
  };
  const Millis HoldTime;
  std::map<VmId, Row> Rows;
};

} // namespace waycove
