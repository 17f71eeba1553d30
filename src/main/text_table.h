// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <string>
#include <vector>

namespace waycove {

/// Rows of text under headings, shown in columns or as JSON.
class TextTable {
public:
  explicit TextTable(std::vector<std::string> Headings);
  void add(std::vector<std::string> Row);
  /// Columns padded to their widest cell.
  std::string text() const;
  /// A list of objects, keyed by heading.
  std::string json() const;

private:
  std::vector<std::string> Headings;
  std::vector<std::vector<std::string>> Rows;
};

} // namespace waycove
