// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/pool_key.h"

#include <vector>

namespace waycove {

/// Kinds of content that a target may crash under.
enum class SuspectKind : std::uint8_t {
  /// A whole request: its path, caller and body.
  Request,
  /// A part of a prompt that requests share, at the targets of one pool.
  PromptPart,
};

/// Something under which a target may have crashed; the same on every node.
struct CrashSuspect {
  SuspectKind Kind{};
  ContentHash Content;
  // Defaulted by the compiler. NOLINTNEXTLINE
  auto operator<=>(const CrashSuspect &) const = default;
};

/// All suspects of one request, the request itself first, or several that are
/// blamed together.
using CrashSuspects = std::vector<CrashSuspect>;

/// Returns the suspects of the request with the hash \p Request, whose prompt
/// has the parts \p SharedParts. A part that crashes the targets of one model
/// may be sound for another one, so the pool belongs to its identity.
CrashSuspects suspectsOf(ContentHash Request, const PoolKey &Pool,
                         const std::vector<std::string> &SharedParts);

/// Returns whether \p Suspects contains all of \p Wanted.
bool containsAll(const CrashSuspects &Suspects, const CrashSuspects &Wanted);

} // namespace waycove
