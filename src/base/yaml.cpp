// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "base/yaml.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace waycove {

namespace {

constexpr std::size_t MaxYamlBytes = 1 << 20;
constexpr std::size_t MaxDepth = 12;
constexpr std::size_t MaxList = 4096;

/// Checks the nesting depth of flow brackets and indentation before parsing,
/// because deep nesting overflows the stack of the YAML library.
bool isTooDeep(const std::string &Text) {
  std::size_t Depth = 0;
  std::size_t Dashes = 0;
  std::vector<std::size_t> Indents;
  bool LineStart = true;
  std::size_t Column = 0;
  for (char C : Text) {
    if (C == '\n') {
      LineStart = true;
      Column = 0;
      Dashes = 0;
      continue;
    }
    if (LineStart && (C == ' ' || C == '-' || C == '?')) {
      Dashes += C != ' ' ? 1 : 0;
      ++Column;
      if (Dashes > MaxDepth && Column < 3 * MaxDepth)
        return true;
      continue;
    }
    if (LineStart) {
      LineStart = false;
      while (!Indents.empty() && Indents.back() >= Column)
        Indents.pop_back();
      Indents.push_back(Column);
      if (Indents.size() > MaxDepth)
        return true;
    }
    if (C == '[' || C == '{')
      ++Depth;
    if ((C == ']' || C == '}') && Depth > 0)
      --Depth;
    if (Depth > MaxDepth)
      return true;
  }
  return false;
}

} // namespace

std::string ValidationError::text() const {
  return this->File + ":" + std::to_string(this->Line) + ": " + this->Field +
         ": expected " + this->Expected;
}

void ValidationErrors::add(const YAML::Node &At, const std::string &Field,
                           const std::string &Expected) {
  int Line = At.IsDefined() ? At.Mark().line + 1 : 1;
  this->Errors.push_back({this->File, std::max(Line, 1), Field, Expected});
}

std::string ValidationErrors::text() const {
  std::ostringstream Out;
  for (const ValidationError &Error : this->Errors)
    Out << Error.text() << "\n";
  return Out.str();
}

YamlMap::YamlMap(const YAML::Node &Node, std::string Path,
                 ValidationErrors &Errors)
    : Node(Node), Path(std::move(Path)), Errors(Errors) {
  if (this->Node.IsDefined() && !this->Node.IsMap()) {
    this->Errors.add(this->Node, this->Path.empty() ? "file" : this->Path,
                     "a mapping");
    this->Node = YAML::Node(YAML::NodeType::Map);
  }
  std::vector<std::string> Keys;
  for (const auto &Pair : this->Node) {
    const std::string &Key = Pair.first.Scalar();
    if (std::find(Keys.begin(), Keys.end(), Key) != Keys.end())
      this->Errors.add(Pair.first, this->pathOf(Key), "the field once only");
    Keys.push_back(Key);
  }
}

std::string YamlMap::pathOf(const std::string &Field) const {
  return this->Path.empty() ? Field : this->Path + "." + Field;
}

YAML::Node YamlMap::child(const std::string &Field, bool Required) {
  this->KnownFields.push_back(Field);
  if (this->Node.IsMap())
    if (YAML::Node Child = this->Node[Field]; Child.IsDefined())
      return Child;
  if (Required)
    this->Errors.add(this->Node, this->pathOf(Field),
                     "a value (it is missing)");
  return YAML::Node(YAML::NodeType::Undefined);
}

std::string YamlMap::text(const std::string &Field, bool Required,
                          const std::string &Default, std::size_t MaxBytes) {
  YAML::Node Child = this->child(Field, Required);
  if (!Child.IsDefined())
    return Default;
  bool Valid = Child.IsScalar() && !Child.Scalar().empty() &&
               Child.Scalar().size() <= MaxBytes &&
               std::all_of(Child.Scalar().begin(), Child.Scalar().end(),
                           [](unsigned char C) { return C >= 32; });
  if (!Valid) {
    this->Errors.add(Child, this->pathOf(Field),
                     "text of 1 to " + std::to_string(MaxBytes) +
                         " printable characters");
    return Default;
  }
  return Child.Scalar();
}

std::uint64_t YamlMap::number(const std::string &Field, bool Required,
                              std::uint64_t Default, std::uint64_t Min,
                              std::uint64_t Max) {
  YAML::Node Child = this->child(Field, Required);
  if (!Child.IsDefined())
    return Default;
  const std::string Text = Child.IsScalar() ? Child.Scalar() : "";
  bool Digits = !Text.empty() && Text.size() <= 18 &&
                std::all_of(Text.begin(), Text.end(),
                            [](unsigned char C) { return std::isdigit(C); });
  std::uint64_t Value = Digits ? std::stoull(Text) : 0;
  if (!Digits || Value < Min || Value > Max) {
    this->Errors.add(Child, this->pathOf(Field),
                     "a whole number from " + std::to_string(Min) + " to " +
                         std::to_string(Max));
    return Default;
  }
  return Value;
}

double YamlMap::real(const std::string &Field, double Default, double Min,
                     double Max) {
  YAML::Node Child = this->child(Field, false);
  if (!Child.IsDefined())
    return Default;
  const std::string Text = Child.IsScalar() ? Child.Scalar() : "";
  double Value = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Text.empty() || Error != std::errc() ||
      End != Text.data() + Text.size() || !(Value >= Min && Value <= Max)) {
    this->Errors.add(Child, this->pathOf(Field),
                     "a number from " + std::to_string(Min) + " to " +
                         std::to_string(Max));
    return Default;
  }
  return Value;
}

bool YamlMap::flag(const std::string &Field, bool Default) {
  YAML::Node Child = this->child(Field, false);
  if (!Child.IsDefined())
    return Default;
  if (Child.IsScalar() && Child.Scalar() == "true")
    return true;
  if (Child.IsScalar() && Child.Scalar() == "false")
    return false;
  this->Errors.add(Child, this->pathOf(Field), "true or false");
  return Default;
}

std::vector<std::string> YamlMap::list(const std::string &Field) {
  YAML::Node Child = this->child(Field, false);
  std::vector<std::string> Values;
  if (!Child.IsDefined())
    return Values;
  if (!Child.IsSequence() || Child.size() > MaxList) {
    this->Errors.add(Child, this->pathOf(Field), "a list of strings");
    return Values;
  }
  for (const YAML::Node &Item : Child) {
    if (Item.IsScalar() && !Item.Scalar().empty())
      Values.push_back(Item.Scalar());
    else
      this->Errors.add(Item, this->pathOf(Field), "a string");
  }
  return Values;
}

void YamlMap::finish() {
  for (const auto &Pair : this->Node) {
    const std::string &Key = Pair.first.Scalar();
    if (std::find(this->KnownFields.begin(), this->KnownFields.end(), Key) ==
        this->KnownFields.end()) {
      std::string Known;
      for (const std::string &Field : this->KnownFields)
        Known += (Known.empty() ? "" : ", ") + Field;
      this->Errors.add(Pair.first, this->pathOf(Key), "one of: " + Known);
    }
  }
}

std::vector<YAML::Node> loadYaml(const std::string &Text,
                                 ValidationErrors &Errors) {
  if (Text.size() > MaxYamlBytes || isTooDeep(Text)) {
    Errors.Errors.push_back(
        {Errors.File, 1, "file",
         "at most 1 MiB and " + std::to_string(MaxDepth) + " levels"});
    return {};
  }
  try {
    std::vector<YAML::Node> Documents;
    for (YAML::Node &Document : YAML::LoadAll(Text))
      if (Document.IsDefined() && !Document.IsNull())
        Documents.push_back(Document);
    return Documents;
  } catch (const YAML::Exception &Error) {
    Errors.Errors.push_back(
        {Errors.File, Error.mark.line + 1, "file", "YAML: " + Error.msg});
    return {};
  }
}

} // namespace waycove
