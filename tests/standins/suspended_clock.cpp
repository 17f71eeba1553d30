// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Simulates the clocks of a suspended machine. Linked into a daemon, it
// subtracts the milliseconds in the file named by WAYCOVE_SUSPENDED from the
// steady clock. The boot clock and the time of day include suspended time. The
// process must be stopped while the file changes.
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

/// Returns the total suspended time.
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

/// Converts the deadline to the kernel's clock, which includes suspended time.
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
