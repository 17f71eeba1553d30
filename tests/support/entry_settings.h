// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/settings.h"

namespace waycove::test {

/// Settings of a node that serves as an entry on the platform.
inline Settings entrySettings() {
  Settings Config;
  Config.Node = NodeId("n");
  Config.DataCentre = DataCentreId("here");
  Config.Entry.emplace();
  return Config;
}

} // namespace waycove::test
