// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <unordered_map>

namespace waycove {

/// Work done for each workspace, weighted towards the last seconds. Answers a
/// large workspace beside small ones: requests of the one that has used the
/// least go first, so that its volume does not delay the others. Not
/// thread-safe.
class WorkspaceUse {
public:
  /// Adds the expected work of a request that is sent.
  void add(const WorkspaceId &Workspace, Tokens Work, TimePoint Now);
  /// Returns the decayed sum, in tokens.
  double of(const WorkspaceId &Workspace, TimePoint Now) const;
  /// Number of workspaces that are remembered.
  std::size_t size() const { return this->Rows.size(); }

private:
  struct Row {
    double Work = 0;
    TimePoint At;
  };
  static double decayed(const Row &Used, TimePoint Now);
  void forgetSmall(TimePoint Now);

  std::unordered_map<WorkspaceId, Row> Rows;
  /// Size at which small rows are dropped next.
  std::size_t SweepSize = 256;
};

} // namespace waycove
