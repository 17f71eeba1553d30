// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "soak/soak_system.h"

namespace waycove::test {

/// Lets targets send bytes without end that are no answer, in place of
/// responses to requests, replies to orders, or reports, for some seconds each.
/// Until the faults are over.
void sendEndlessRepeatedly(SoakSystem &System);

/// The same with responses that are whole but for one odd part.
void sendOddRepeatedly(SoakSystem &System);

/// Checks how much entries read of a response without end, and that their
/// memory did not grow with it.
void checkEndless(SoakSystem &System);

} // namespace waycove::test
