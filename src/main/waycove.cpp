// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "bench/bench.h"
#include "main/commands.h"

#include <Poco/Exception.h>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(server, "127.0.0.1:8101",
              "HTTP address of any daemon, as IP:PORT");
DEFINE_string(key, "", "operator key; WAYCOVE_KEY in the environment if empty");
DEFINE_string(output, "table", "table or json");
DEFINE_int64(base, -1,
             "apply: the revision the change is based on; the current one if "
             "negative");

namespace {

using namespace waycove;

constexpr char Usage[] =
    "the operators' tool of waycove\n\n"
    "  waycove check FILE...            validate objects or settings, offline\n"
    "  waycove apply FILE...            publish objects\n"
    "  waycove diff FILE...             compare files with published objects\n"
    "  waycove get [KIND [NAME]]        show published objects\n"
    "  waycove delete KIND NAME         remove a published object\n"
    "  waycove drain VM...              send no new work to VMs\n"
    "  waycove undrain VM...            send new work to VMs again\n"
    "  waycove status                   daemons, groups and VMs\n"
    "  waycove timeline [text|json|chrome]\n"
    "                                   events of all daemons, in causal "
    "order\n"
    "  waycove digest KEY               print a key's digest for key_digest\n"
    "  waycove bench [NAME]             run a benchmark of the decision code\n"
    "  waycove version\n\n"
    "Exit status: 0 done, 1 rejected or different, 2 invalid arguments or file "
    "(nothing sent),\n3 no response or outcome unknown.";

std::string keyFromEnvironment() {
  const char *Text = std::getenv("WAYCOVE_KEY");
  return Text ? Text : "";
}

Exit run(const CommandLine &Line) {
  const std::string &Name = Line.Args[0];
  if (Name == "check")
    return runCheck(Line);
  if (Name == "digest")
    return runDigest(Line);
  if (Name == "apply")
    return runApply(Line);
  if (Name == "get")
    return runGet(Line);
  if (Name == "diff")
    return runDiff(Line);
  if (Name == "delete")
    return runDelete(Line);
  if (Name == "drain")
    return runDrain(Line, true);
  if (Name == "undrain")
    return runDrain(Line, false);
  if (Name == "status")
    return runStatus(Line);
  if (Name == "timeline")
    return runTimeline(Line);
  if (Name == "bench")
    return runBench(Line.Args.size() > 1 ? Line.Args[1] : "", std::cout)
               ? Exit::Success
               : Exit::BadInput;
  if (Name == "version") {
    std::cout << WAYCOVE_VERSION << "\n";
    return Exit::Success;
  }
  std::cerr << "waycove: unknown command '" << Name << "'; see --help\n";
  return Exit::BadInput;
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage(Usage);
  gflags::SetVersionString(WAYCOVE_VERSION);
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  CommandLine Line;
  Line.Args.assign(Argv + 1, Argv + Argc);
  Line.Key = FLAGS_key.empty() ? keyFromEnvironment() : FLAGS_key;
  Line.Json = FLAGS_output == "json";
  Line.Base = FLAGS_base;
  bool Valid = !Line.Args.empty() && (Line.Json || FLAGS_output == "table") &&
               parseEndpoint(FLAGS_server, Line.Server);
  if (!Valid) {
    std::cerr << "waycove: expected a command, --server=IP:PORT and "
                 "--output=table|json; see --help\n";
    return static_cast<int>(Exit::BadInput);
  }
  try {
    return static_cast<int>(run(Line));
  } catch (const Poco::Exception &Error) {
    std::cerr << "waycove: " << Error.displayText() << "\n";
    return static_cast<int>(Exit::Unreachable);
  }
}
