// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace waycove {

/// Counts refused requests by kind of error and workspace, to show whom an
/// overload affects. Thread-safe.
class RefusalCounts {
public:
  /// Counts a refusal. Beyond a number of rows, \p Workspace is counted as
  /// "other".
  void add(std::string_view Kind, std::string_view Workspace);
  /// Returns the refusals counted for the workspace itself.
  std::uint64_t get(std::string_view Kind, std::string_view Workspace) const;
  /// Returns all counts in the Prometheus text format.
  std::string text() const;

private:
  /// Series of a metric are kept by whoever collects them, so their number is
  /// bounded. Further workspaces are counted together.
  static constexpr std::size_t MaxRows = 1000;
  struct Row {
    std::string Kind;
    std::string Workspace;
    // Defaulted by the compiler. NOLINTNEXTLINE
    auto operator<=>(const Row &) const = default;
  };

  mutable std::mutex Mutex;
  std::map<Row, std::uint64_t> Counts;
};

} // namespace waycove
