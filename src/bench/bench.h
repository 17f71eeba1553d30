// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <iosfwd>
#include <string>

namespace waycove {

/// Runs the benchmark \p Name, or prints the decision signature if it is empty.
/// Returns false if there is no such benchmark.
bool runBench(const std::string &Name, std::ostream &Out);

} // namespace waycove
