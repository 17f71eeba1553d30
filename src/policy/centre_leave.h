// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <cstdint>

namespace waycove {

/// Whether a request with the bits \p Random may go to another data centre
/// because the local targets are busier, if \p LocalFraction (0 to 1) of the
/// requests stay.
bool mayLeaveCentre(double LocalFraction, std::uint64_t Random);

} // namespace waycove
