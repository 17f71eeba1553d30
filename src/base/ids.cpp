// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "base/ids.h"

#include <cstdio>
#include <mutex>
#include <random>
#include <xxhash.h>

namespace waycove {

std::uint64_t hashText(const std::string &Text, std::uint64_t Seed) {
  return XXH64(Text.data(), Text.size(), Seed);
}

std::uint64_t mixHash(std::uint64_t Left, std::uint64_t Right) {
  std::uint64_t Mixed = Left ^ (Right * 0x9E3779B97F4A7C15ULL);
  Mixed ^= Mixed >> 32;
  Mixed *= 0xD6E8FEB86659FD93ULL;
  return Mixed ^ (Mixed >> 29);
}

std::string randomId() {
  static std::mutex Mutex;
  static std::random_device Device;
  std::lock_guard Lock(Mutex);
  char Text[33];
  std::snprintf(Text, sizeof(Text), "%08x%08x%08x%08x", Device(), Device(),
                Device(), Device());
  return Text;
}

} // namespace waycove
