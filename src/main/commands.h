// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "net/http.h"

namespace waycove {

/// Exit statuses of the command-line tool.
enum class Exit {
  Good = 0,
  /// The daemon refused, or a difference was found.
  Refused = 1,
  /// The words or a file are wrong; nothing was sent.
  BadInput = 2,
  /// No daemon answered, or the outcome is not known.
  Unreachable = 3,
};

/// What the words and flags of one call say.
struct CommandLine {
  std::vector<std::string> Words;
  Endpoint Server;
  std::string Key;
  bool Json = false;
  /// Revision that an application is based on; the present one if negative.
  std::int64_t Base = -1;
};

/// `waycove check FILE...`: validates without any daemon.
Exit runCheck(const CommandLine &Line);
/// `waycove digest KEY`.
Exit runDigest(const CommandLine &Line);
/// `waycove apply FILE...` publishes each object of the files.
Exit runApply(const CommandLine &Line);
/// `waycove get [KIND [NAME]]`.
Exit runGet(const CommandLine &Line);
/// `waycove diff FILE...` against what is published.
Exit runDiff(const CommandLine &Line);
/// `waycove delete KIND NAME`.
Exit runDelete(const CommandLine &Line);
/// `waycove drain VM...` and `waycove undrain VM...`.
Exit runDrain(const CommandLine &Line, bool Away);
/// `waycove status`.
Exit runStatus(const CommandLine &Line);
/// `waycove timeline [text|json|chrome]` over all daemons that are known.
Exit runTimeline(const CommandLine &Line);

} // namespace waycove
