// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "net/http.h"

namespace waycove {

/// Exit statuses of the command-line tool.
enum class Exit {
  Success = 0,
  /// The daemon rejected a change, or a difference was found.
  Refused = 1,
  /// The arguments or a file are invalid; nothing was sent.
  BadInput = 2,
  /// No daemon responded, or the outcome is unknown.
  Unreachable = 3,
};

/// Parsed command line.
struct CommandLine {
  /// The command and its arguments.
  std::vector<std::string> Args;
  Endpoint Server;
  std::string Key;
  bool Json = false;
  /// Revision that an applied change is based on; the current one if negative.
  std::int64_t Base = -1;
};

/// `waycove check FILE...` validates files offline.
Exit runCheck(const CommandLine &Line);
/// `waycove digest KEY` prints the digest of a key.
Exit runDigest(const CommandLine &Line);
/// `waycove apply FILE...` publishes each object of the files.
Exit runApply(const CommandLine &Line);
/// `waycove get [KIND [NAME]]` shows published objects.
Exit runGet(const CommandLine &Line);
/// `waycove diff FILE...` compares files with the published objects.
Exit runDiff(const CommandLine &Line);
/// `waycove delete KIND NAME` removes an object.
Exit runDelete(const CommandLine &Line);
/// `waycove drain VM...`, or `waycove undrain VM...` if not \p Drain.
Exit runDrain(const CommandLine &Line, bool Drain);
/// `waycove status` shows daemons, groups and VMs.
Exit runStatus(const CommandLine &Line);
/// `waycove timeline [text|json|chrome]` shows the events of all known daemons.
Exit runTimeline(const CommandLine &Line);

} // namespace waycove
