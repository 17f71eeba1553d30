// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <optional>

namespace waycove {

/// High-water marks of the versions of a feed's values in one era of the store.
struct VersionMarks {
  /// Newest version in the store in this era.
  ValueVersion Current;
  /// Newest version of earlier eras that is known to this node, from the store
  /// or from other nodes.
  ValueVersion Previous;
  /// The writer has written since the era began, or has had the time to, and
  /// the data described by these marks was proven after that.
  bool Settled = false;
  /// Returns whether a restore of the store lost a version and the writer has
  /// not yet written that version or a newer one again.
  bool isLost() const { return this->Current < this->Previous; }
};

/// Version marks and their era, as exchanged between nodes.
struct EraMarks {
  StoreEra Era;
  VersionMarks Versions;
};

/// Tracks the versions of a feed across eras of the store, as learned from the
/// store and from other nodes. Not thread-safe.
class EraVersions {
public:
  /// Merges the marks of a page from the store or another node that is valid as
  /// of \p At. Ignores pages of earlier eras.
  void mergePage(const EraMarks &Page, TimePoint At);
  /// Merges marks received from another node without the records. They update
  /// Previous, but not Current, whose records this node has yet to read. If the
  /// other node's era is settled, so are this node's proofs from \p Now on.
  void mergeMarks(const EraMarks &Received, TimePoint Now);
  /// Marks \p Era as settled as of \p At.
  void settle(StoreEra Era, TimePoint At);
  /// Returns the marks for data that was proven at \p ProvenAt.
  EraMarks marks(TimePoint ProvenAt) const;

private:
  void beginEra(StoreEra Begun);
  void mergePrevious(const EraMarks &Received);
  void markSettled(TimePoint At);

  /// Unset before the first page.
  std::optional<StoreEra> Era;
  ValueVersion Current;
  ValueVersion Previous;
  /// Time since when the current era is settled.
  std::optional<TimePoint> SettledAt;
  /// Newest era known to be settled. Era 0 is settled from the start, because
  /// no restore precedes it.
  StoreEra SettledEra;
};

} // namespace waycove
