// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <exception>
#include <functional>
#include <string>

namespace waycove {

/// Gets the reason of an error that was caught at the bottom of a thread.
using ErrorHandler = std::function<void(const std::string &Reason)>;

/// Calls \p OnError where nobody could catch what it throws. It may itself find
/// no memory for its log line: then the line is missing, and the process goes
/// on.
inline void reportError(const ErrorHandler &OnError,
                        const char *Reason) noexcept {
  try {
    OnError(Reason);
  } catch (const std::exception &) {
    // There is no memory for a further line either.
  }
}

} // namespace waycove
