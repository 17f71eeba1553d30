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
  // The comparison that the compiler makes is no text of ours. NOLINTNEXTLINE
  auto operator<=>(const Label &) const = default;
};

/// The labels of one VM, data centre or workspace; a key stands once.
class Labels {
public:
  /// Sets \p Key, in place of an earlier value.
  void set(const std::string &Key, const std::string &Value);
  /// The value of \p Key, or null where it is not set.
  const std::string *find(const std::string &Key) const;
  /// Adds what \p Other has and this has not.
  void inherit(const Labels &Other);
  const std::vector<Label> &rows() const { return this->Rows; }
  bool operator==(const Labels &) const = default;

private:
  std::vector<Label> Rows;
};

/// One condition: the label must be there, and its value be (or, negated, not
/// be) one of the values.
struct Requirement {
  std::string Key;
  std::vector<std::string> Values;
  bool Negated = false;
  bool operator==(const Requirement &) const = default;
};

/// All requirements must hold. A missing label never satisfies one, negated or
/// not: what nobody has labelled is refused.
class Selector {
public:
  void require(Requirement Row) { this->Rows.push_back(std::move(Row)); }
  /// Adds all requirements of \p Other.
  void narrow(const Selector &Other);
  bool matches(const Labels &Subject) const;
  const std::vector<Requirement> &rows() const { return this->Rows; }
  bool operator==(const Selector &) const = default;

private:
  std::vector<Requirement> Rows;
};

/// Reads what callers write: "residency=bc|on,tier!=public". Errors:
/// BadRequest for an empty key or value, a doubled key, or over the bounds.
absl::StatusOr<Selector> parseSelector(const std::string &Text);

} // namespace waycove
