// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace waycove {

/// One thing wrong with a YAML file.
struct ValidationError {
  std::string File;
  int Line = 0;
  std::string Field;
  std::string Expected;
  std::string text() const;
};

/// Gathers all mistakes of one file, so that they are shown in one go.
struct ValidationErrors {
  std::string File;
  std::vector<ValidationError> Errors;
  void add(const YAML::Node &At, const std::string &Field,
           const std::string &Expected);
  bool empty() const { return this->Errors.empty(); }
  std::string text() const;
};

/// Reads the fields of one YAML mapping strictly: every field read is checked,
/// and finish() names those that nobody asked for.
class YamlMap {
public:
  YamlMap(const YAML::Node &Node, std::string Path, ValidationErrors &Found);

  /// Text of 1 to \p MaxBytes printable characters.
  std::string text(const std::string &Field, bool Required,
                   const std::string &Default = "", std::size_t MaxBytes = 256);
  std::uint64_t number(const std::string &Field, bool Required,
                       std::uint64_t Default, std::uint64_t Least,
                       std::uint64_t Most);
  double real(const std::string &Field, double Default, double Least,
              double Most);
  bool flag(const std::string &Field, bool Default);
  std::vector<std::string> list(const std::string &Field);
  /// The node below \p Field; undefined where the field is absent.
  YAML::Node child(const std::string &Field, bool Required);
  std::string pathOf(const std::string &Field) const;
  void finish();

private:
  YAML::Node Node;
  std::string Path;
  ValidationErrors &Found;
  std::vector<std::string> Asked;
};

/// Loads YAML text; a syntax mistake is added to \p Found and gives no
/// documents. Refuses text above a bound, and aliases (which can swell).
std::vector<YAML::Node> loadYaml(const std::string &Text,
                                 ValidationErrors &Found);

} // namespace waycove
