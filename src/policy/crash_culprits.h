// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/crash_suspect.h"
#include "policy/load_reports.h"

#include <map>
#include <set>
#include <vector>

namespace waycove {

/// The crashes under one suspect since it was last served.
struct SuspectRecord {
  std::set<TargetHash> CrashedTargets;
  /// Requests with it were served, earlier or elsewhere.
  bool ServedBefore = false;
  /// A target crashed under a request that was sent when an earlier crash was
  /// known: the crashes are not all of the same moment.
  bool Recurred = false;
};

using SuspectRecords = std::map<CrashSuspect, SuspectRecord>;

/// What crashes targets: a request that contains all of these suspects. There
/// are several if no crash tells them apart; sound requests that share only
/// some of them then continue to be served, and show which are innocent.
using Culprit = CrashSuspects;

/// Finds the fewest culprits that explain the crashes. Answers crashes of
/// targets that each run dozens of requests with several parts, nearly all of
/// which are innocent, while targets also crash for other reasons:
/// - suspects that were never served come first, and need CrashesToBlame
///   crashes; the others need more, since a frequent part or request runs at
///   most crashes of any cause;
/// - among these the ones with the most crashes come first, and the crashes
///   that they explain do not count against others;
/// - a single request that ran at all of the same crashes is blamed rather than
///   its parts, and a part rather than several such requests;
/// - parts that fewer than MinSeparateCrashes crashes tell apart are blamed
///   together.
std::vector<Culprit> findCulprits(const SuspectRecords &Records);

/// Crashes after which a suspect is blamed.
inline constexpr std::size_t CrashesToBlame = 3;
/// The same for a request that was answered before. It is high because a
/// frequent request is lost several times in a row if several targets crash
/// one after another for another reason.
inline constexpr std::size_t CrashesToBlameServedRequest = 12;
/// The same for a part that was served before. It is low because each request
/// with the part that is served clears it, and in addition the crashes must not
/// be of one moment, as when a domain is lost.
inline constexpr std::size_t CrashesToBlameServedPart = 4;
/// Crashes under one part but not under another that tell the two apart. One
/// is not enough: a target may crash for another reason, or an entry may miss
/// a crash.
inline constexpr std::size_t MinSeparateCrashes = 2;

} // namespace waycove
