// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <cstdint>
#include <iosfwd>

namespace waycove {

/// Fixed inputs through the decision code, as one number.
std::uint64_t decisionSignature();

// Each prints its figures as a table. All but the slopes are in virtual time
// and print the same on every run.

/// One greedy and nine modest workspaces: first come first served against the
/// fair queue.
void runFairness(std::ostream &Out);
/// Twice the load that the replicas can carry: answers within the deadline.
void runOverload(std::ostream &Out);
/// A tenth of the targets fails: attempts a request.
void runRetries(std::ostream &Out);
/// Sessions of many turns through many daemons: share of prefixes found.
void runPrefix(std::ostream &Out);
/// Admission by free KV cache against a fixed number of slots.
void runKv(std::ostream &Out);
/// Group downtime and stranded accelerators over a script of failures.
void runRepair(std::ostream &Out);
/// Time and bytes of decisions against the sizes of tables.
void runSlopes(std::ostream &Out);

} // namespace waycove
