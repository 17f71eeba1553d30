// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// The clocks of a machine that is suspended now and then: linked into a daemon,
// it takes the time that the file named by WAYCOVE_SUSPENDED tells, in
// milliseconds, off the steady clock. The boot clock and the time of day count
// it, as on such a machine. Whoever writes the file stops the process
// meanwhile.
#include <cstdlib>
#include <ctime>
#include <dlfcn.h>
#include <fcntl.h>
#include <pthread.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

constexpr long MillisPerSecond = 1000;
constexpr long NanosPerMilli = 1'000'000;
constexpr long NanosPerSecond = 1'000'000'000;

/// How long the machine was suspended so far.
long suspendedMs() {
  static const char *const File = std::getenv("WAYCOVE_SUSPENDED");
  if (!File)
    return 0;
  int Handle = open(File, O_RDONLY | O_CLOEXEC);
  if (Handle < 0)
    return 0;
  char Text[24] = {};
  ssize_t Length = read(Handle, Text, sizeof(Text) - 1);
  close(Handle);
  return Length > 0 ? std::strtol(Text, nullptr, 10) : 0;
}

void shift(timespec &Time, long Millis) {
  Time.tv_sec += Millis / MillisPerSecond;
  Time.tv_nsec += Millis % MillisPerSecond * NanosPerMilli;
  if (Time.tv_nsec < 0) {
    Time.tv_nsec += NanosPerSecond;
    --Time.tv_sec;
  } else if (Time.tv_nsec >= NanosPerSecond) {
    Time.tv_nsec -= NanosPerSecond;
    ++Time.tv_sec;
  }
}

} // namespace

extern "C" int clock_gettime(clockid_t Clock, timespec *Out) noexcept {
  auto Result = static_cast<int>(syscall(SYS_clock_gettime, Clock, Out));
  if (Result == 0 && Clock == CLOCK_MONOTONIC)
    shift(*Out, -suspendedMs());
  return Result;
}

/// Waits by the kernel's clock, which knows nothing of the file.
extern "C" int pthread_cond_clockwait(pthread_cond_t *Condition,
                                      pthread_mutex_t *Mutex, clockid_t Clock,
                                      const timespec *Until) {
  using Wait =
      int (*)(pthread_cond_t *, pthread_mutex_t *, clockid_t, const timespec *);
  static const auto Next =
      reinterpret_cast<Wait>(dlsym(RTLD_NEXT, "pthread_cond_clockwait"));
  timespec Shifted = *Until;
  if (Clock == CLOCK_MONOTONIC)
    shift(Shifted, suspendedMs());
  return Next(Condition, Mutex, Clock, &Shifted);
}
