// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "base/crash_log.h"

#include "base/events.h"

#include <Poco/JSONString.h>
#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <poll.h>
#include <string>
#include <string_view>
#include <system_error>
#include <unistd.h>

namespace waycove {

namespace {

/// Signals that end the process, but for those that it waits for or ignores.
constexpr std::array<int, 8> FatalSignals{SIGSEGV, SIGBUS,  SIGFPE, SIGILL,
                                          SIGABRT, SIGQUIT, SIGSYS, SIGXCPU};
/// How long the line may wait for a full pipe.
constexpr int MaxWriteWaitMs = 100;
/// Time for the log's thread to write what it has queued.
constexpr timespec DrainTime{0, 50'000'000};
/// A pipe takes a line of this length as a whole.
constexpr std::size_t MaxLineBytes = 1024;

/// What the handlers need, set by logCrashes(). They may neither allocate
/// memory nor take a lock.
struct CrashState {
  /// The line's members that do not change.
  std::string Constant;
  const std::atomic<std::uint32_t> *InFlight = nullptr;
  std::array<struct sigaction, FatalSignals.size()> Previous{};
  std::atomic<bool> HasCrashed{false};
};

/// Lives until the process ends, since threads may crash until then.
CrashState &state() {
  static auto &State = *new CrashState; // NOLINT(*-owning-memory)
  return State;
}

/// A line that is built without allocating memory. What does not fit is left
/// out.
class CrashLine {
public:
  CrashLine &add(std::string_view Text) {
    std::size_t Length = std::min(Text.size(), MaxLineBytes - this->Size);
    std::copy_n(Text.begin(), Length, this->Bytes.begin() + this->Size);
    this->Size += Length;
    return *this;
  }
  CrashLine &add(std::uint64_t Number) {
    std::array<char, 20> Digits{};
    const char *End =
        std::to_chars(Digits.data(), Digits.data() + Digits.size(), Number).ptr;
    return this->add(std::string_view(
        Digits.data(), static_cast<std::size_t>(End - Digits.data())));
  }
  /// Adds at most MaxTextBytes of \p Text, without what JSON would escape.
  CrashLine &addPlain(std::string_view Text) {
    for (char C : Text.substr(0, MaxTextBytes)) {
      bool IsPlain = C >= ' ' && C <= '~' && C != '"' && C != '\\';
      this->add(std::string_view(IsPlain ? &C : "'", 1));
    }
    return *this;
  }
  void write() const {
    pollfd Out{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&Out, 1, MaxWriteWaitMs) <= 0)
      return;
    std::string_view Rest(this->Bytes.data(), this->Size);
    while (!Rest.empty()) {
      ssize_t Written = ::write(STDOUT_FILENO, Rest.data(), Rest.size());
      if (Written < 0 && errno != EINTR)
        return;
      Rest.remove_prefix(
          static_cast<std::size_t>(std::max<ssize_t>(Written, 0)));
    }
  }

private:
  static constexpr std::size_t MaxTextBytes = 400;

  std::array<char, MaxLineBytes> Bytes{};
  std::size_t Size = 0;
};

/// Writes the line, as eventJson() would. Of several threads that crash, the
/// first does; the others wait for the process to end.
void writeCrash(std::string_view Kind, std::string_view Text) {
  CrashState &State = state();
  if (State.HasCrashed.exchange(true))
    while (true)
      ::pause();
  timespec Now{};
  clock_gettime(CLOCK_REALTIME, &Now);
  std::uint64_t Ms = static_cast<std::uint64_t>(Now.tv_sec) * 1000 +
                     static_cast<std::uint64_t>(Now.tv_nsec) / 1'000'000;
  CrashLine Line;
  Line.add("{\"clock\":").add(Ms << 16).add(State.Constant);
  Line.add(",\"time_ms\":").add(Ms);
  Line.add(R"(,"reason":")").add(Kind).addPlain(Text);
  Line.add(R"(","in_flight":)").add(State.InFlight->load()).add("}\n");
  Line.write();
  nanosleep(&DrainTime, nullptr);
}

/// The default action, or that of a sanitizer, follows.
void restorePrevious(int Signal) {
  const auto *At = std::find(FatalSignals.begin(), FatalSignals.end(), Signal);
  sigaction(
      Signal,
      &state().Previous[static_cast<std::size_t>(At - FatalSignals.begin())],
      nullptr);
}

void onFatalSignal(int Signal, siginfo_t *Info, void * /*Context*/) {
  std::array<char, 4> Digits{};
  const char *End =
      std::to_chars(Digits.data(), Digits.data() + Digits.size(), Signal).ptr;
  writeCrash("signal ",
             {Digits.data(), static_cast<std::size_t>(End - Digits.data())});
  restorePrevious(Signal);
  // An instruction that caused the signal does so again when the handler has
  // returned, where a sanitizer sees it. One that was sent is sent again.
  bool WasSent = Info->si_code <= 0;
  if (WasSent)
    raise(Signal);
}

[[noreturn]] void onTerminate() {
  try {
    if (std::exception_ptr Thrown = std::current_exception())
      std::rethrow_exception(Thrown);
    writeCrash("terminated", "");
  } catch (const std::exception &Error) {
    writeCrash("uncaught exception: ", Error.what());
  } catch (...) {
    writeCrash("uncaught exception of another type", "");
  }
  // The line has been written.
  restorePrevious(SIGABRT);
  std::abort();
}

void check(int Result, const char *What) {
  if (Result != 0)
    throw std::system_error(errno, std::generic_category(), What);
}

} // namespace

void logCrashes(const NodeId &Node,
                const std::atomic<std::uint32_t> &InFlight) {
  const EventInfo &Info = infoFor(EventCode::DaemonCrashed);
  std::string Name = Poco::toJSON(Node.Text);
  CrashState &State = state();
  State.InFlight = &InFlight;
  State.Constant = ",\"event\":" + std::to_string(static_cast<int>(Info.Code)) +
                   ",\"level\":\"error\",\"name\":\"" + std::string(Info.Name) +
                   "\",\"node\":" + Name + ",\"subject\":" + Name;
  struct sigaction Action {};
  Action.sa_sigaction = onFatalSignal;
  Action.sa_flags = SA_ONSTACK | SA_SIGINFO;
  // A further one in the handler ends the process at once.
  sigemptyset(&Action.sa_mask);
  for (int Signal : FatalSignals)
    sigaddset(&Action.sa_mask, Signal);
  for (std::size_t I = 0; I < FatalSignals.size(); ++I)
    check(sigaction(FatalSignals[I], &Action, &State.Previous[I]), "sigaction");
  std::set_terminate(onTerminate);
}

SignalStack::SignalStack() {
  stack_t Own{};
  Own.ss_sp = this->Bytes.data();
  Own.ss_size = this->Bytes.size();
  // If it fails, the handlers run on the thread's own stack.
  sigaltstack(&Own, &this->Previous);
}

SignalStack::~SignalStack() { sigaltstack(&this->Previous, nullptr); }

} // namespace waycove
