// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace waycove {

/// One validation error in a YAML file.
struct ValidationError {
  std::string File;
  int Line = 0;
  std::string Field;
  std::string Expected;
  std::string text() const;
};

/// Collects all validation errors of a file.
struct ValidationErrors {
  std::string File;
  std::vector<ValidationError> Errors;
  void add(const YAML::Node &At, const std::string &Field,
           const std::string &Expected);
  bool empty() const { return this->Errors.empty(); }
  std::string text() const;
};

/// Reads and validates the fields of a YAML mapping; finish() reports unknown
/// fields.
class YamlMap {
public:
  YamlMap(const YAML::Node &Node, std::string Path, ValidationErrors &Errors);

  /// Reads a string of 1 to \p MaxBytes printable characters.
  std::string text(const std::string &Field, bool Required,
                   const std::string &Default = "", std::size_t MaxBytes = 256);
  std::uint64_t number(const std::string &Field, bool Required,
                       std::uint64_t Default, std::uint64_t Min,
                       std::uint64_t Max);
  double real(const std::string &Field, double Default, double Min, double Max);
  bool flag(const std::string &Field, bool Default);
  std::vector<std::string> list(const std::string &Field);
  /// Returns the node of \p Field; undefined if the field is absent.
  YAML::Node child(const std::string &Field, bool Required);
  std::string pathOf(const std::string &Field) const;
  /// Reports the fields that were not read.
  void finish();

private:
  YAML::Node Node;
  std::string Path;
  ValidationErrors &Errors;
  std::vector<std::string> KnownFields;
};

/// Parses YAML text of bounded size and depth. Adds a syntax error to
/// \p Errors and then returns no documents.
std::vector<YAML::Node> loadYaml(const std::string &Text,
                                 ValidationErrors &Errors);

} // namespace waycove
