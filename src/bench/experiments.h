// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <cstdint>
#include <iosfwd>

namespace waycove {

/// Runs the decision code on fixed inputs and returns a hash of its decisions.
std::uint64_t decisionSignature();

// Each benchmark prints its results as a table. All except runSlopes() use
// virtual time and fixed seeds, so their output is reproducible.

/// Compares FIFO order with the fair queue for one greedy and nine modest
/// workspaces.
void runFairness(std::ostream &Out);
/// Compares load balancing policies at twice the capacity of the replicas.
void runOverload(std::ostream &Out);
/// Compares retry policies by attempts per request when targets fail.
void runRetries(std::ostream &Out);
/// Compares session affinity policies by prefix cache hits.
void runPrefix(std::ostream &Out);
/// Compares admission by free KV cache with a fixed number of slots.
void runKv(std::ostream &Out);
/// Compares repair policies by group downtime and stranded VMs in a fixed
/// sequence of failures.
void runRepair(std::ostream &Out);
/// Measures time and memory of operations for growing table sizes.
void runSlopes(std::ostream &Out);

} // namespace waycove
