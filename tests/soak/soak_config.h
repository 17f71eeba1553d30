// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <string>

namespace waycove::test {

/// Events of each stream.
inline constexpr int Events = 40;
/// Attempts of a stream that may have run, by its route.
inline constexpr int MaxAttempts = 2;
/// Prefix of the route that comes and goes; its requests name the model that
/// comes and goes.
inline const std::string SparePrefix = "/spare/";
inline const std::string SpareModel = "spare";

inline std::string versionKey(int Version) {
  return "turn-" + std::to_string(Version);
}

/// The entry that gets a caller's request with this number.
inline std::string entryOfCall(int Number) { return Number % 2 ? "n1" : "n2"; }

inline std::string wholeStream() {
  std::string Text;
  for (int I = 1; I <= Events; ++I)
    Text += "id: " + std::to_string(I) + "\ndata: piece " + std::to_string(I) +
            "\n\n";
  return Text;
}

} // namespace waycove::test
