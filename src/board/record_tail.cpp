// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "board/record_tail.h"

namespace waycove {

namespace {

constexpr std::size_t MaxRows = 8192;
constexpr std::size_t MaxTailBytes = 8 << 20;

} // namespace

void RecordTail::push(LogRecord Row) {
  if (!this->Rows.empty() && Row.At != this->Rows.back().At.next())
    this->clear();
  this->Bytes += Row.Bytes.size();
  this->Rows.push_back(std::move(Row));
  while (this->Rows.size() > MaxRows || this->Bytes > MaxTailBytes) {
    this->Bytes -= this->Rows.front().Bytes.size();
    this->Rows.pop_front();
  }
}

std::vector<LogRecord> RecordTail::since(Offset From,
                                         std::size_t MaxBytes) const {
  std::vector<LogRecord> Found;
  if (this->Rows.empty() || From < this->Rows.front().At)
    return Found;
  std::size_t Size = 0;
  for (std::size_t I = From.Value - this->Rows.front().At.Value;
       I < this->Rows.size() && Size < MaxBytes; ++I) {
    Found.push_back(this->Rows[I]);
    Size += this->Rows[I].Bytes.size();
  }
  return Found;
}

void RecordTail::clear() {
  this->Rows.clear();
  this->Bytes = 0;
}

} // namespace waycove
