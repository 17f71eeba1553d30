// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <map>
#include <mutex>
#include <string>

namespace waycove {

/// The exported times of VMs by service and state. Thread-safe.
class VmSeconds {
public:
  struct Row {
    std::string Service;
    std::string State;
    /// Exported as a label unless empty.
    std::string Model;
    // Defaulted by the compiler. NOLINTNEXTLINE
    auto operator<=>(const Row &) const = default;
  };

  /// Replaces all times, in seconds.
  void set(std::map<Row, double> Times);
  /// Returns all times in the Prometheus text format.
  std::string text() const;

private:
  mutable std::mutex Mutex;
  std::map<Row, double> Times;
};

} // namespace waycove
