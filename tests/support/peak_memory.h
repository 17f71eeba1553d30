// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <sys/resource.h>

namespace waycove::test {

/// Largest memory that this process has used so far, in KiB, from getrusage().
inline long peakMemoryKb() {
  rusage Usage{};
  ::getrusage(RUSAGE_SELF, &Usage);
  return Usage.ru_maxrss;
}

} // namespace waycove::test
