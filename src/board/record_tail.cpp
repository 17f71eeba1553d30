// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "board/record_tail.h"

namespace waycove {

namespace {

constexpr std::size_t MaxRecords = 8192;
constexpr std::size_t MaxTailBytes = 8 << 20;

} // namespace

void RecordTail::push(LogRecord Record) {
  if (!this->Records.empty() && Record.At != this->Records.back().At.next())
    this->clear();
  this->Bytes += Record.Bytes.size();
  this->Records.push_back(std::move(Record));
  while (this->Records.size() > MaxRecords || this->Bytes > MaxTailBytes) {
    this->Bytes -= this->Records.front().Bytes.size();
    this->Records.pop_front();
  }
}

std::vector<LogRecord> RecordTail::since(Offset From,
                                         std::size_t MaxBytes) const {
  std::vector<LogRecord> Found;
  if (this->Records.empty() || From < this->Records.front().At)
    return Found;
  std::size_t Size = 0;
  for (std::size_t I = From.Value - this->Records.front().At.Value;
       I < this->Records.size() && Size < MaxBytes; ++I) {
    Found.push_back(this->Records[I]);
    Size += this->Records[I].Bytes.size();
  }
  return Found;
}

void RecordTail::clear() {
  this->Records.clear();
  this->Bytes = 0;
}

} // namespace waycove
