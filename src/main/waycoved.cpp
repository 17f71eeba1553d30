// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

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
DEFINE_bool(check_settings, false,
            "check the settings, name all mistakes, and end: 0 good, 2 bad");
DEFINE_bool(list_events, false, "print the catalogue of events and end");
DEFINE_string(node, "", "in place of the settings' node");
DEFINE_string(data_centre, "", "in place of the settings' data_centre");
DEFINE_string(http, "", "in place of the settings' http address");
DEFINE_string(peer_listen, "", "in place of the settings' peer_listen");
DEFINE_string(platform, "", "in place of the settings' platform address");

namespace {

using namespace waycove;

constexpr int ExitBadInput = 2;
constexpr int ExitCut = 1;
constexpr char Usage[] =
    "the entry daemon of waycove\n\n"
    "  waycoved --settings FILE\n"
    "  waycoved --settings FILE --check_settings\n"
    "  waycoved --list_events\n\n"
    "Serves callers and operators over HTTP and talks to other daemons, to the "
    "platform and to targets.\nSIGTERM begins a planned stop; a second one "
    "ends "
    "the process at once.\nExit status: 0 stopped with nothing cut, 1 "
    "something "
    "was cut, 2 bad settings or address.";

void overrideText(YAML::Node &Into, const char *Field,
                  const std::string &Value) {
  if (!Value.empty())
    Into[Field] = Value;
}

/// The settings file with what the command line says in its place. Where
/// nothing is overridden the file's own lines are kept for mistakes.
std::string settingsText(const std::string &FileText) {
  bool Any = !FLAGS_node.empty() || !FLAGS_data_centre.empty() ||
             !FLAGS_http.empty() || !FLAGS_peer_listen.empty() ||
             !FLAGS_platform.empty();
  if (!Any)
    return FileText;
  try {
    YAML::Node Node = YAML::Load(FileText);
    overrideText(Node, "node", FLAGS_node);
    overrideText(Node, "data_centre", FLAGS_data_centre);
    overrideText(Node, "http", FLAGS_http);
    overrideText(Node, "peer_listen", FLAGS_peer_listen);
    overrideText(Node, "platform", FLAGS_platform);
    return YAML::Dump(Node);
  } catch (const YAML::Exception &) {
    // The checks that follow name the mistake.
    return FileText;
  }
}

/// Blocks the signals that the main thread waits for, in all threads that begin
/// later. It has to come before the first of them, the log's writer: a signal
/// that the main thread is not waiting for at that moment goes to any thread
/// that does not block it, and ends the process with all answers in flight.
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

/// Reads the settings file again and tells what came of it. What a running
/// entry takes from it is fixed at its start; a change needs a restart.
void reloadSettings(Events &Log) {
  std::ifstream File(FLAGS_settings);
  std::stringstream Text;
  Text << File.rdbuf();
  ValidationErrors Found;
  parseSettings(FLAGS_settings, settingsText(Text.str()), Found);
  if (Found.empty())
    Log.emit(EventCode::SettingsReloaded, FLAGS_settings);
  else
    Log.emit(EventCode::SettingsRefused, FLAGS_settings,
             LogFields().add("reason", Found.text()));
}

/// Starts a daemon; false where an address is taken, and says so.
template <typename Process> bool begin(Process &Started) {
  try {
    Started.start();
    return true;
  } catch (const Poco::Exception &Error) {
    std::cerr << "cannot listen: " << Error.displayText() << "\n";
    return false;
  }
}

/// Serves as an entry on the platform until a planned stop has ended.
int runEntry(const Settings &Config, const sigset_t &Signals) {
  EntryDaemon<platform::Platform> Process(Config);
  if (!begin(Process))
    return ExitBadInput;
  int Signal = 0;
  while (sigwait(&Signals, &Signal) == 0 && Signal == SIGHUP)
    reloadSettings(Process.log());
  Process.beginStop();
  // Leaves the platform's own limit this margin.
  constexpr Millis StopMargin(400);
  auto Until = BootClock::now() + Config.Entry->GracePeriod - StopMargin;
  while (!Process.isDrained() && BootClock::now() < Until)
    std::this_thread::sleep_for(Millis(50));
  Process.logStopped();
  stopLogging();
  // Threads may still wait for callers that rest; nothing is kept on disk.
  std::_Exit(Process.inFlight() == 0 ? 0 : ExitCut);
}

int runDaemon(const Settings &Config, sigset_t Signals) {
  sigdelset(&Signals, SIGHUP);
  Daemon Process(Config);
  if (!begin(Process))
    return ExitBadInput;
  int Signal = 0;
  sigwait(&Signals, &Signal);
  Process.beginStop();
  // From here on a second signal is noticed between looks.
  auto Until = BootClock::now() + Config.DrainTimeout;
  while (!Process.isDrained() && BootClock::now() < Until) {
    timespec Pause{0, 20'000'000};
    if (sigtimedwait(&Signals, nullptr, &Pause) > 0)
      break;
  }
  std::uint32_t Cut = Process.inFlight();
  if (Cut == 0)
    return 0;
  std::cerr << "{\"name\":\"daemon_stopped\",\"cut\":" << Cut << "}\n";
  stopLogging();
  std::_Exit(ExitCut);
}

} // namespace

int main(int Argc, char **Argv) {
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
  ValidationErrors Found;
  Settings Config =
      parseSettings(FLAGS_settings, settingsText(Text.str()), Found);
  if (!Found.empty()) {
    std::cerr << Found.text();
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
