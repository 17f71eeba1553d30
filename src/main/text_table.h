// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <string>
#include <vector>

namespace waycove {

/// A table of strings with headings, printed in columns or as JSON.
class TextTable {
public:
  explicit TextTable(std::vector<std::string> Headings);
  void add(std::vector<std::string> Row);
  /// Returns the table as text with aligned columns.
  std::string text() const;
  /// Returns the table as a JSON array of objects with the headings as keys.
  std::string json() const;

private:
  std::vector<std::string> Headings;
  std::vector<std::vector<std::string>> Rows;
};

} // namespace waycove
