// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/crash_suspect.h"

#include <algorithm>

namespace waycove {

CrashSuspects suspectsOf(ContentHash Request, const PoolKey &Pool,
                         const std::vector<std::string> &SharedParts) {
  CrashSuspects Suspects{{SuspectKind::Request, Request}};
  std::uint64_t PoolHash = hashText(Pool.Model, hashText(Pool.Service.Text));
  for (const std::string &Part : SharedParts)
    Suspects.push_back(
        {SuspectKind::PromptPart, ContentHash(hashText(Part, PoolHash))});
  return Suspects;
}

bool containsAll(const CrashSuspects &Suspects, const CrashSuspects &Wanted) {
  return std::all_of(Wanted.begin(), Wanted.end(),
                     [&](const CrashSuspect &Suspect) {
                       return std::find(Suspects.begin(), Suspects.end(),
                                        Suspect) != Suspects.end();
                     });
}

} // namespace waycove
