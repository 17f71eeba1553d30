// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <string>

namespace waycove::test {

inline constexpr int StreamEvents = 40;

/// The entry configuration: a streaming route, a non-idempotent route and an
/// idempotent route, which all have the timeout \p TimeoutMs.
inline std::string entryConfig(int Version, const std::string &Key,
                               int TimeoutMs = 6000) {
  const std::string Route = R"("host":"a.example","timeout_ms":)" +
                            std::to_string(TimeoutMs) +
                            R"(,"goal_ms":300,"priority":1,)";
  return R"({"version":)" + std::to_string(Version) + R"(,"routes":[)" +
         R"({"name":"chat",)" + Route +
         R"("path_prefix":"/chat/","type":"streaming","service":"llm",)"
         R"("max_attempts":2,"resumable":true,"gap_target_ms":200},)"
         R"({"name":"once",)" +
         Route +
         R"("path_prefix":"/once/","type":"non_idempotent","service":"plain",)"
         R"("max_attempts":1},{"name":"safe",)" +
         Route +
         R"("path_prefix":"/safe/","type":"idempotent","service":"plain",)"
         R"("max_attempts":2}],"services":[{"name":"plain","max_conns":50},)"
         R"({"name":"llm","max_conns":50,"engine":{"slots":8,"retains":1,)"
         R"("loads_per_s":50,"models":[{"name":"model","size":2,"share":1,)"
         R"("pace":1,"load_s":0.1,"warm_s":0.05}]}}],)"
         R"("tenants":[{"name":"w1","api_keys":[")" +
         Key + R"("]}]})";
}

/// The body of a stream that no fault has cut.
inline std::string wholeStream() {
  std::string Text;
  for (int I = 1; I <= StreamEvents; ++I)
    Text += "id: " + std::to_string(I) + "\ndata: piece " + std::to_string(I) +
            "\n\n";
  return Text;
}

} // namespace waycove::test
