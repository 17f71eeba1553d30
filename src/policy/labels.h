// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/errors.h"

#include <string>
#include <vector>

namespace waycove {

struct Label {
  std::string Key;
  std::string Value;
  // Defaulted by the compiler. NOLINTNEXTLINE
  auto operator<=>(const Label &) const = default;
};

/// Labels of one VM, data centre or workspace. Keys are unique.
class Labels {
public:
  /// Sets \p Key, replacing an earlier value.
  void set(const std::string &Key, const std::string &Value);
  /// Returns the value of \p Key, or null if it is not set.
  const std::string *find(const std::string &Key) const;
  /// Adds the labels of \p Other whose keys are not set here.
  void inherit(const Labels &Other);
  const std::vector<Label> &rows() const { return this->Rows; }
  bool operator==(const Labels &) const = default;

private:
  std::vector<Label> Rows;
};

/// A condition on one label: it must be set, and its value must be (or, if
/// negated, not be) one of the values.
struct Requirement {
  std::string Key;
  std::vector<std::string> Values;
  bool Negated = false;
  bool operator==(const Requirement &) const = default;
};

/// A conjunction of requirements. A missing label never satisfies a
/// requirement, negated or not, so that unlabelled objects are excluded.
class Selector {
public:
  void require(Requirement Added) { this->Rows.push_back(std::move(Added)); }
  /// Adds all requirements of \p Other.
  void narrow(const Selector &Other);
  bool matches(const Labels &Subject) const;
  const std::vector<Requirement> &rows() const { return this->Rows; }
  bool operator==(const Selector &) const = default;

private:
  std::vector<Requirement> Rows;
};

/// Parses a selector of a caller, such as "residency=bc|on,tier!=public".
/// Errors: BadRequest for an empty key or value, or if a limit is exceeded.
absl::StatusOr<Selector> parseSelector(const std::string &Text);

} // namespace waycove
