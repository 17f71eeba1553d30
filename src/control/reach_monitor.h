// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"

namespace waycove {

/// Records what requests and probes show of this node's links to targets, and
/// applies the consequences of a change. Thread-safe.
class ReachMonitor {
public:
  explicit ReachMonitor(EntryBoard &Board) : Board(Board) {}

  /// No direct connection to the target could be opened.
  void onNoConnection(const VmIncarnation &Target);
  /// A direct connection to the target ended, or stayed silent, before any
  /// byte of a response.
  void onNoBytes(const VmIncarnation &Target);
  /// A direct connection to a target was opened.
  void onConnected();
  /// A response arrived over a direct connection.
  void onContact();
  /// Another node has opened a way to a target.
  void onWay();
  /// A probe of \p Target was answered.
  void onProbeAnswered(const VmIncarnation &Target);
  /// A probe of \p Target was not answered; see TargetReach::onProbeFailed.
  void onProbeFailed(const VmIncarnation &Target, const VmIncarnation &Failed,
                     TargetReach::OthersView View);

private:
  /// A shorter cut that no other node has confirmed may have been a number of
  /// targets that crashed.
  static constexpr Millis CertainCutDuration{1000};

  /// Changes Reach by \p Apply, and applies the consequences.
  template <typename F> void change(F &&Apply);
  void onConfirmed();
  void onSound(bool WasCertainlyCutOff);

  EntryBoard &Board;
};

} // namespace waycove
