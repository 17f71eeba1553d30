// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// The last line of a process that ends by itself.
#include "base/crash_log.h"
#include "base/growing_pool.h"
#include "base/json.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace waycove::test {

namespace {

constexpr std::uint32_t InFlight = 7;

/// How a child process ended, and its standard output.
struct Crashed {
  int Status = 0;
  std::string Output;
};

/// Runs \p Function in a child process whose crashes are logged.
Crashed runInChild(const std::function<void()> &Function) {
  std::array<int, 2> Pipe{};
  REQUIRE(pipe(Pipe.data()) == 0);
  pid_t Child = fork();
  REQUIRE(Child >= 0);
  if (Child == 0) {
    static const std::atomic<std::uint32_t> Requests{InFlight};
    dup2(Pipe[1], STDOUT_FILENO);
    // Catch's own handlers would follow.
    for (int Signal : {SIGSEGV, SIGABRT, SIGFPE})
      std::signal(Signal, SIG_DFL);
    logCrashes(NodeId("n1"), Requests);
    Function();
    _exit(0);
  }
  close(Pipe[1]);
  Crashed Result;
  std::array<char, 4096> Block{};
  ssize_t Read = 0;
  while ((Read = read(Pipe[0], Block.data(), Block.size())) > 0)
    Result.Output.append(Block.data(), static_cast<std::size_t>(Read));
  close(Pipe[0]);
  waitpid(Child, &Result.Status, 0);
  return Result;
}

void checkLine(const Crashed &Result, int Signal, const std::string &Reason) {
  INFO(Result.Output);
  CHECK(WIFSIGNALED(Result.Status));
  CHECK(WTERMSIG(Result.Status) == Signal);
  auto Line = parseJson(Result.Output);
  REQUIRE(Line.ok());
  CHECK(textAt(*Line, "name") == "daemon_crashed");
  CHECK(textAt(*Line, "node") == "n1");
  CHECK(textAt(*Line, "level") == "error");
  CHECK(textAt(*Line, "reason") == Reason);
  CHECK(numberAt(*Line, "in_flight") == InFlight);
  CHECK(numberAt(*Line, "time_ms") > 0);
  CHECK(std::count(Result.Output.begin(), Result.Output.end(), '\n') == 1);
}

/// Uses up the stack, but for a negative depth. Each call reads the frame of
/// the one above, so that none is left out.
int recurse(int Depth, const volatile char *Above) {
  std::array<volatile char, 1024> Frame{};
  Frame[0] = static_cast<char>(Depth + *Above);
  return Depth < 0 ? 0 : recurse(Depth + 1, Frame.data()) + Frame[0];
}

} // namespace

// Guards against a process that ends without a line in its log.
TEST_CASE("crash log: an exception is not caught: the line gives its text",
          "[unit]") {
  auto Throw = [] { throw std::runtime_error("a \"quoted\" text\n"); };
  checkLine(runInChild([&] { std::thread(Throw).join(); }), SIGABRT,
            "uncaught exception: a 'quoted' text'");
  checkLine(runInChild([] { std::thread([] { throw 1; }).join(); }), SIGABRT,
            "uncaught exception of another type");
  checkLine(runInChild([] { std::terminate(); }), SIGABRT, "terminated");
}

TEST_CASE("crash log: a fatal signal: the line gives its number", "[unit]") {
  checkLine(runInChild([] { std::abort(); }), SIGABRT, "signal 6");
  checkLine(runInChild([] { raise(SIGSEGV); }), SIGSEGV, "signal 11");
  checkLine(runInChild([] {
              volatile int *volatile Nothing = nullptr;
              *Nothing = 1;
            }),
            SIGSEGV, "signal 11");
}

// Guards against handlers that themselves find no stack.
TEST_CASE("crash log: a thread's stack is used up: the line is written",
          "[unit]") {
  auto Overflow = [] {
    GrowingPool Pool({1, Millis(1000), 256 << 10});
    static_cast<void>(Pool.post([] {
      const volatile char Outermost = 0;
      const volatile int Result = recurse(0, &Outermost);
      static_cast<void>(Result);
    }));
  };
  checkLine(runInChild(Overflow), SIGSEGV, "signal 11");
}

// Guards against a process that hangs, or writes many lines, where several
// threads crash at once.
TEST_CASE("crash log: several threads crash: one line is written", "[unit]") {
  auto CrashAll = [] {
    constexpr int Count = 8;
    std::vector<std::thread> Threads;
    Threads.reserve(Count);
    for (int I = 0; I < Count; ++I)
      Threads.emplace_back([] { std::abort(); });
    for (std::thread &Thread : Threads)
      Thread.join();
  };
  checkLine(runInChild(CrashAll), SIGABRT, "signal 6");
}

} // namespace waycove::test
