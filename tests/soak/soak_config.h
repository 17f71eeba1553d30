// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <array>
#include <string>

namespace waycove::test {

/// Timeouts of the routes, which each version of the configuration changes.
/// Callers wait longer.
inline constexpr std::array RouteTimeoutsMs{2000, 1200, 2800};
inline constexpr int LongestTimeoutMs = 2800;
inline int timeoutMsOf(int Version) {
  return RouteTimeoutsMs[static_cast<std::size_t>(Version) %
                         RouteTimeoutsMs.size()];
}

/// Events of each stream.
inline constexpr int Events = 40;

inline std::string versionKey(int Version) {
  return "turn-" + std::to_string(Version);
}

/// The entry that gets a caller's request with this number.
inline std::string entryOfCall(int Number) { return Number % 2 ? "n1" : "n2"; }

/// Each version has a key that the next version revokes.
inline std::string config(int Version) {
  const std::string Route = R"("host":"a.example","timeout_ms":)" +
                            std::to_string(timeoutMsOf(Version)) +
                            R"(,"goal_ms":300,"priority":1,)";
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":[{"name":"chat",)" + Route +
         R"("path_prefix":"/chat/","type":"streaming","service":"llm",)"
         R"("max_attempts":2,"resumable":true,"gap_target_ms":200},)"
         R"({"name":"once",)" +
         Route +
         R"("path_prefix":"/once/","type":"non_idempotent","service":"plain",)"
         R"("max_attempts":1}],"services":[{"name":"plain","max_conns":50},)"
         R"({"name":"llm","max_conns":50,"engine":{"slots":8,"retains":1,)"
         R"("loads_per_s":50,"models":[{"name":"model","size":2,"share":1,)"
         R"("pace":1,"load_s":0.1,"warm_s":0.05}]}}],)"
         R"("tenants":[{"name":"w1","api_keys":["key-1",")" +
         versionKey(Version) + R"("]}]})";
}

inline std::string wholeStream() {
  std::string Text;
  for (int I = 1; I <= Events; ++I)
    Text += "id: " + std::to_string(I) + "\ndata: piece " + std::to_string(I) +
            "\n\n";
  return Text;
}

} // namespace waycove::test
