// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "base/store_calls.h"

#include <sstream>

namespace waycove {

namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(StoreUse::Count)>
    UseNames{"config", "registry", "directory", "announcement", "shares"};
constexpr std::array<std::string_view,
                     static_cast<std::size_t>(CallCause::Count)>
    CauseNames{"start", "duty",         "alone", "aged",
               "large", "history_gone", "retry"};

} // namespace

std::uint64_t StoreCalls::total() const {
  std::uint64_t Total = 0;
  for (const auto &Counter : this->Counters)
    Total += Counter.load(std::memory_order_relaxed);
  return Total;
}

LogFields StoreCalls::fields() const {
  LogFields Fields;
  for (std::size_t I = 0; I < this->Counters.size(); ++I)
    if (std::uint64_t Calls = this->Counters[I].load(std::memory_order_relaxed);
        Calls > 0)
      Fields.add(std::string(UseNames[I / Causes]) + "_" +
                     std::string(CauseNames[I % Causes]),
                 Calls);
  return Fields;
}

std::string StoreCalls::text() const {
  std::ostringstream Out;
  Out << "# TYPE waycove_store_calls_total counter\n";
  for (std::size_t I = 0; I < this->Counters.size(); ++I)
    Out << "waycove_store_calls_total{use=\"" << UseNames[I / Causes]
        << "\",cause=\"" << CauseNames[I % Causes] << "\"} "
        << this->Counters[I].load(std::memory_order_relaxed) << "\n";
  return Out.str();
}

} // namespace waycove
