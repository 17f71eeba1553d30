// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "base/vm_seconds.h"

#include "base/metric_label.h"

#include <iomanip>
#include <sstream>

namespace waycove {

namespace {

/// Milliseconds. The default of six significant digits hides the growth of
/// large sums.
constexpr int Decimals = 3;

} // namespace

void VmSeconds::set(std::map<Row, double> Newest) {
  std::lock_guard Lock(this->Mutex);
  this->Times = std::move(Newest);
}

std::string VmSeconds::text() const {
  std::ostringstream Out;
  Out << "# TYPE waycove_vm_seconds_total counter\n"
      << std::fixed << std::setprecision(Decimals);
  std::lock_guard Lock(this->Mutex);
  for (const auto &[Key, Seconds] : this->Times) {
    Out << "waycove_vm_seconds_total{service=\"" << escapeLabel(Key.Service)
        << "\",state=\"" << Key.State << "\"";
    if (!Key.Model.empty())
      Out << ",model=\"" << escapeLabel(Key.Model) << "\"";
    Out << "} " << Seconds << "\n";
  }
  return Out.str();
}

} // namespace waycove
