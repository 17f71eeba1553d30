// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <iosfwd>
#include <string>

namespace waycove {

/// Runs the benchmark \p Name, or, where it is empty, fixed inputs through the
/// decision code, whose signature is printed. False if there is no such name.
bool runBench(const std::string &Name, std::ostream &Out);

} // namespace waycove
