// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "base/crash_log.h"
#include "edge/daemon.h"
#include "platform/platform.h"

#include <Poco/Exception.h>
#include <csignal>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>
#include <thread>

DEFINE_string(settings, "", "settings file (YAML); see docs/CONFIG.md");
DEFINE_bool(
    check_settings, false,
    "validate the settings, print all errors, and exit with status 0 if "
    "valid or 2 if invalid");
DEFINE_bool(list_events, false, "print the event catalogue and exit");
DEFINE_string(node, "", "overrides node of the settings");
DEFINE_string(data_centre, "", "overrides data_centre of the settings");
DEFINE_string(http, "", "overrides http of the settings");
DEFINE_string(peer_listen, "", "overrides peer_listen of the settings");
DEFINE_string(platform, "", "overrides platform of the settings");

namespace {

using namespace waycove;

constexpr int ExitBadInput = 2;
constexpr int ExitInterrupted = 1;
constexpr char Usage[] =
    "the entry daemon of waycove\n\n"
    "  waycoved --settings FILE\n"
    "  waycoved --settings FILE --check_settings\n"
    "  waycoved --list_events\n\n"
    "Serves callers and operators over HTTP and talks to other daemons, to the "
    "platform and to targets.\nSIGTERM begins a planned stop; a second one "
    "ends the process at once.\nExit status: 0 stopped without interrupting "
    "requests, 1 requests were interrupted,\n2 invalid settings or address.";

void overrideField(YAML::Node &Out, const char *Field,
                   const std::string &Value) {
  if (!Value.empty())
    Out[Field] = Value;
}

/// Returns the settings with the overrides of the command line. Without any,
/// the text is unchanged, so that errors refer to lines of the file.
std::string settingsText(const std::string &FileText) {
  bool AnyOverride = !FLAGS_node.empty() || !FLAGS_data_centre.empty() ||
                     !FLAGS_http.empty() || !FLAGS_peer_listen.empty() ||
                     !FLAGS_platform.empty();
  if (!AnyOverride)
    return FileText;
  try {
    YAML::Node Node = YAML::Load(FileText);
    overrideField(Node, "node", FLAGS_node);
    overrideField(Node, "data_centre", FLAGS_data_centre);
    overrideField(Node, "http", FLAGS_http);
    overrideField(Node, "peer_listen", FLAGS_peer_listen);
    overrideField(Node, "platform", FLAGS_platform);
    return YAML::Dump(Node);
  } catch (const YAML::Exception &) {
    // parseSettings() reports the error.
    return FileText;
  }
}

/// Blocks the signals that the main thread waits for, in this thread and all
/// threads created later. Must be called before any thread is created, because
/// a thread that does not block a signal may receive it and end the process.
sigset_t blockSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

/// Reads the settings file again and logs whether it is valid. Changes take
/// effect only after a restart.
void reloadSettings(Events &Log) {
  auto Refuse = [&](std::string_view Reason) {
    Log.emit(EventCode::SettingsRefused, FLAGS_settings,
             LogFields().add("reason", Reason));
  };
  try {
    std::ifstream File(FLAGS_settings);
    std::stringstream Text;
    Text << File.rdbuf();
    ValidationErrors Errors;
    parseSettings(FLAGS_settings, settingsText(Text.str()), Errors);
    if (Errors.empty())
      Log.emit(EventCode::SettingsReloaded, FLAGS_settings);
    else
      Refuse(Errors.text());
  } catch (const std::exception &Error) {
    // E.g. no memory for a large file.
    Refuse(Error.what());
  }
}

/// Starts a daemon; prints an error and returns false if it cannot listen or
/// start its threads.
template <typename Process> bool startDaemon(Process &Daemon) {
  try {
    Daemon.start();
    return true;
  } catch (const Poco::Exception &Error) {
    std::cerr << "cannot listen: " << Error.displayText() << "\n";
  } catch (const std::exception &Error) {
    std::cerr << "cannot start: " << Error.what() << "\n";
  }
  return false;
}

/// Runs an entry on the platform until a planned stop ends.
int runEntry(const Settings &Config, const sigset_t &Signals) {
  EntryDaemon<platform::Platform> Process(Config);
  logCrashes(Config.Node, Process.inFlight());
  // Servers that have started do not end before the process.
  if (!startDaemon(Process)) {
    stopLogging();
    std::_Exit(ExitBadInput);
  }
  int Signal = 0;
  while (sigwait(&Signals, &Signal) == 0 && Signal == SIGHUP)
    reloadSettings(Process.log());
  Process.beginStop();
  // Ends this long before the platform kills the process.
  constexpr Millis StopMargin(400);
  auto Until = BootClock::now() + Config.Entry->GracePeriod - StopMargin;
  while (!Process.isDrained() && BootClock::now() < Until)
    std::this_thread::sleep_for(Millis(50));
  bool IsInterrupted = Process.inFlight() != 0;
  // Threads look each 120 ms whether to end their requests.
  constexpr Millis EndingTime(200);
  Process.endRequests();
  Until = BootClock::now() + EndingTime;
  while (Process.inFlight() != 0 && BootClock::now() < Until)
    std::this_thread::sleep_for(Millis(5));
  Process.logStopped();
  stopLogging();
  // Does not wait for threads of idle connections; there is no state on disk.
  std::_Exit(IsInterrupted ? ExitInterrupted : 0);
}

/// Runs a daemon until a planned stop ends or a second signal arrives.
int runDaemon(const Settings &Config, sigset_t Signals) {
  sigdelset(&Signals, SIGHUP);
  Daemon Process(Config);
  logCrashes(Config.Node, Process.inFlight());
  if (!startDaemon(Process))
    return ExitBadInput;
  int Signal = 0;
  sigwait(&Signals, &Signal);
  Process.beginStop();
  // A second signal ends the wait.
  auto Until = BootClock::now() + Config.DrainTimeout;
  while (!Process.isDrained() && BootClock::now() < Until) {
    timespec PollInterval{0, 20'000'000};
    if (sigtimedwait(&Signals, nullptr, &PollInterval) > 0)
      break;
  }
  std::uint32_t Interrupted = Process.inFlight();
  if (Interrupted == 0)
    return 0;
  // After the log's own thread has written all lines, which would mix with this
  // one.
  stopLogging();
  std::cerr << "{\"name\":\"daemon_stopped\",\"cut\":" << Interrupted << "}\n";
  std::_Exit(ExitInterrupted);
}

} // namespace

int main(int Argc, char **Argv) {
  SignalStack OfThisThread;
  gflags::SetUsageMessage(Usage);
  gflags::SetVersionString(WAYCOVE_VERSION);
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  if (FLAGS_list_events) {
    std::cout << eventsMarkdown();
    return 0;
  }
  std::ifstream File(FLAGS_settings);
  if (!File) {
    std::cerr << "cannot read the settings file '" << FLAGS_settings
              << "'; see --help\n";
    return ExitBadInput;
  }
  std::stringstream Text;
  Text << File.rdbuf();
  ValidationErrors Errors;
  Settings Config =
      parseSettings(FLAGS_settings, settingsText(Text.str()), Errors);
  if (!Errors.empty()) {
    std::cerr << Errors.text();
    return ExitBadInput;
  }
  if (FLAGS_check_settings)
    return 0;
  sigset_t Signals = blockSignals();
  initLogging(Config.LogLevel);
  int Status =
      Config.Entry ? runEntry(Config, Signals) : runDaemon(Config, Signals);
  stopLogging();
  return Status;
}
