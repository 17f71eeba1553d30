// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/buffer_budget.h"

namespace waycove {

bool BufferBudget::take(std::size_t Bytes, Use Kind) {
  std::size_t Limit =
      Kind == Use::Request ? this->MaxBytes / RequestDivisor : this->MaxBytes;
  std::size_t Before = this->Used;
  do
    if (Bytes > Limit || Before > Limit - Bytes)
      return false;
  while (!this->Used.compare_exchange_weak(Before, Before + Bytes));
  return true;
}

bool BufferBudget::Share::growTo(std::size_t Wanted) {
  if (Wanted <= this->Bytes)
    return true;
  if (!this->Owner || !this->Owner->take(Wanted - this->Bytes, this->Kind))
    return false;
  this->Bytes = Wanted;
  return true;
}

void BufferBudget::Share::release() {
  if (this->Owner)
    this->Owner->Used -= this->Bytes;
}

} // namespace waycove
