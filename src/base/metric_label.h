// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <string>

namespace waycove {

/// Escapes a label value of the Prometheus text format.
inline std::string escapeLabel(const std::string &Text) {
  std::string Out;
  for (char Character : Text) {
    if (Character == '\\' || Character == '"')
      Out += '\\';
    Out += Character == '\n' ? ' ' : Character;
  }
  return Out;
}

} // namespace waycove
