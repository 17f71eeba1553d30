// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/labels.h"

#include <algorithm>

namespace waycove {

namespace {

constexpr std::size_t MaxSelectorBytes = 2048;
constexpr std::size_t MaxRequirements = 32;

std::vector<std::string> split(const std::string &Text, char Mark) {
  std::vector<std::string> Parts;
  std::size_t From = 0;
  while (true) {
    std::size_t At = Text.find(Mark, From);
    if (At == std::string::npos)
      break;
    Parts.push_back(Text.substr(From, At - From));
    From = At + 1;
  }
  Parts.push_back(Text.substr(From));
  return Parts;
}

bool isLabelText(const std::string &Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char C) {
    return std::isalnum(static_cast<unsigned char>(C)) || C == '-' ||
           C == '_' || C == '.' || C == '/';
  });
}

} // namespace

void Labels::set(const std::string &Key, const std::string &Value) {
  auto At = std::lower_bound(
      this->Rows.begin(), this->Rows.end(), Key,
      [](const Label &Row, const std::string &K) { return Row.Key < K; });
  if (At != this->Rows.end() && At->Key == Key)
    At->Value = Value;
  else
    this->Rows.insert(At, {Key, Value});
}

const std::string *Labels::find(const std::string &Key) const {
  auto At = std::lower_bound(
      this->Rows.begin(), this->Rows.end(), Key,
      [](const Label &Row, const std::string &K) { return Row.Key < K; });
  return At != this->Rows.end() && At->Key == Key ? &At->Value : nullptr;
}

void Labels::inherit(const Labels &Other) {
  for (const Label &Row : Other.Rows)
    if (!this->find(Row.Key))
      this->set(Row.Key, Row.Value);
}

void Selector::narrow(const Selector &Other) {
  this->Rows.insert(this->Rows.end(), Other.Rows.begin(), Other.Rows.end());
}

bool Selector::matches(const Labels &Subject) const {
  for (const Requirement &Row : this->Rows) {
    const std::string *Value = Subject.find(Row.Key);
    if (!Value)
      return false;
    bool Listed = std::find(Row.Values.begin(), Row.Values.end(), *Value) !=
                  Row.Values.end();
    if (Listed == Row.Negated)
      return false;
  }
  return true;
}

absl::StatusOr<Selector> parseSelector(const std::string &Text) {
  Selector Result;
  if (Text.empty())
    return Result;
  if (Text.size() > MaxSelectorBytes)
    return makeError(ErrorKind::BadRequest, "labels: too long");
  std::vector<std::string> Parts = split(Text, ',');
  if (Parts.size() > MaxRequirements)
    return makeError(ErrorKind::BadRequest, "labels: too many");
  for (const std::string &Part : Parts) {
    std::size_t At = Part.find('=');
    if (At == std::string::npos || At == 0)
      return makeError(ErrorKind::BadRequest,
                       "labels: expected key=value, found '" + Part + "'");
    bool Negated = Part[At - 1] == '!';
    Requirement Row{Part.substr(0, Negated ? At - 1 : At),
                    split(Part.substr(At + 1), '|'), Negated};
    bool Good = isLabelText(Row.Key) &&
                std::all_of(Row.Values.begin(), Row.Values.end(), isLabelText);
    if (!Good)
      return makeError(ErrorKind::BadRequest,
                       "labels: bad key or value in '" + Part + "'");
    Result.require(std::move(Row));
  }
  return Result;
}

} // namespace waycove
