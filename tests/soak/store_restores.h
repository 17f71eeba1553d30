// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "soak/config_series.h"

namespace waycove::test {

/// Restores the store from older copies, in which versions of the configuration
/// and entries of targets are missing. Used by one thread.
class StoreRestores {
public:
  StoreRestores(SoakSystem &System, ConfigSeries &Configs)
      : System(System), Configs(Configs) {}
  /// Returns when the faults are over.
  void restoreRepeatedly();

private:
  /// Running targets publish their entries again; those of others are removed.
  void republishTargets();

  SoakSystem &System;
  ConfigSeries &Configs;
};

} // namespace waycove::test
