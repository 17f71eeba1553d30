// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "bench/bench.h"

#include "bench/experiments.h"

#include <array>
#include <iostream>
#include <string_view>

namespace waycove {

namespace {

struct Experiment {
  std::string_view Name;
  void (*Run)(std::ostream &);
};

constexpr std::array<Experiment, 7> Experiments{{
    {"fairness", runFairness},
    {"overload", runOverload},
    {"retries", runRetries},
    {"prefix", runPrefix},
    {"kv", runKv},
    {"repair", runRepair},
    {"slopes", runSlopes},
}};

} // namespace

bool runBench(const std::string &Name, std::ostream &Out) {
  if (Name.empty()) {
    Out << "Bench: " << decisionSignature() << "\n";
    return true;
  }
  for (const Experiment &Row : Experiments)
    if (Row.Name == Name) {
      Row.Run(Out);
      return true;
    }
  Out << "bench: expected no name, or one of:";
  for (const Experiment &Row : Experiments)
    Out << " " << Row.Name;
  Out << "\n";
  return false;
}

} // namespace waycove
