// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "main/text_table.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <algorithm>
#include <sstream>

namespace waycove {

namespace {

constexpr std::size_t ColumnGap = 2;

} // namespace

TextTable::TextTable(std::vector<std::string> Headings)
    : Headings(std::move(Headings)) {}

void TextTable::add(std::vector<std::string> Row) {
  Row.resize(this->Headings.size());
  this->Rows.push_back(std::move(Row));
}

std::string TextTable::text() const {
  std::vector<std::size_t> Widths;
  for (std::size_t I = 0; I < this->Headings.size(); ++I) {
    Widths.push_back(this->Headings[I].size());
    for (const auto &Row : this->Rows)
      Widths[I] = std::max(Widths[I], Row[I].size());
  }
  std::ostringstream Out;
  auto PrintLine = [&](const std::vector<std::string> &Cells) {
    std::string Text;
    for (std::size_t I = 0; I < Cells.size(); ++I)
      Text +=
          Cells[I] + std::string(Widths[I] + ColumnGap - Cells[I].size(), ' ');
    Text.erase(Text.find_last_not_of(' ') + 1);
    Out << Text << "\n";
  };
  PrintLine(this->Headings);
  for (const auto &Row : this->Rows)
    PrintLine(Row);
  return Out.str();
}

std::string TextTable::json() const {
  Poco::JSON::Array List;
  for (const auto &Row : this->Rows) {
    Poco::JSON::Object Cells;
    for (std::size_t I = 0; I < Row.size(); ++I)
      Cells.set(this->Headings[I], Row[I]);
    List.add(Cells);
  }
  std::ostringstream Out;
  List.stringify(Out, 2);
  return Out.str() + "\n";
}

} // namespace waycove
