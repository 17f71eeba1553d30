// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <optional>

namespace waycove {

/// The newest versions of a feed's values, as seen in one era of the store.
struct VersionMarks {
  /// That the store has shown since the era began.
  ValueVersion Current;
  /// That was known before the era began, to this node or to any that told it.
  ValueVersion Previous;
  /// What was lost before the era began is written again, as far as anybody can
  /// tell: the writer has written since, or has had the time to; and what goes
  /// with these marks was proven after that.
  bool Settled = false;
  /// The store lost a version that was in force, and its writer has not written
  /// it or a newer one again.
  bool isLost() const { return this->Current < this->Previous; }
};

/// The same with the era in which it was seen, as nodes tell each other.
struct EraMarks {
  StoreEra Era;
  VersionMarks Versions;
};

/// What a node knows of a feed's versions, from the store and from other nodes.
/// Not thread-safe.
class EraVersions {
public:
  /// A page of the store's or of another node, which shows what it says as of
  /// \p At. An earlier era's is left out.
  void mergePage(const EraMarks &Page, TimePoint At);
  /// What another node knows, without the records: what it was shown in this
  /// era, this node has yet to read, and that the era is settled counts for
  /// proofs from \p Now on.
  void mergeMarks(const EraMarks &Told, TimePoint Now);
  /// What was lost before \p Era began is written again as of \p At.
  void settle(StoreEra Era, TimePoint At);
  /// As they go with what was proven at \p ProvenAt.
  EraMarks marks(TimePoint ProvenAt) const;

private:
  void begin(StoreEra Begun);
  void mergePrevious(const EraMarks &Told);
  void markSettled(TimePoint At);

  /// Nothing before the first page.
  std::optional<StoreEra> Era;
  ValueVersion Current;
  ValueVersion Previous;
  /// Since when the present era is settled.
  std::optional<TimePoint> SettledAt;
  /// The newest era that is known to be settled; nobody has to settle the
  /// first, before which nothing was lost.
  StoreEra SettledEra;
};

} // namespace waycove
