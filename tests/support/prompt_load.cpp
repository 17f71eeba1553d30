// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "support/prompt_load.h"

#include <algorithm>
#include <csignal>
#include <sstream>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds RestartDelay(200);
/// Crashes after which no more requests may be sent.
constexpr std::size_t AllowedCrashes = 5;

std::string hex(std::uint64_t Number) {
  std::ostringstream Out;
  Out << std::hex << Number;
  return Out.str();
}

} // namespace

void PromptLoad::run(std::function<void()> Body) {
  this->Threads.emplace_back(std::move(Body));
}

bool PromptLoad::waitFor(milliseconds Duration) const {
  return !eventually([&] { return this->Stopped.load(); }, Duration);
}

void PromptLoad::stop() {
  this->Stopped = true;
  for (std::thread &Thread : this->Threads)
    Thread.join();
  this->Threads.clear();
}

int PromptLoad::sendOne(const std::string &Node, const SharedParts &Parts) {
  std::uint64_t Number = ++this->NextRequest;
  std::string Header;
  for (const std::string &Part : Parts)
    Header += Part + ":20,";
  Header += hex(0xA0000000 + Number) + ":5";
  return this->Run
      .ask(Node, {"POST",
                  "/safe/x",
                  "body " + std::to_string(Number),
                  {{"Host", "a.example"},
                   {"Authorization", "Bearer key-1"},
                   {"X-Request-Id", "q" + std::to_string(Number)},
                   {"X-Prefix-Hash", Header},
                   {"X-Deadline-Ms", "3000"}}})
      .Status;
}

void PromptLoad::send(const SharedParts &Parts, milliseconds Interval,
                      bool Counted) {
  for (const std::string &Node : Entries)
    this->run([this, Node, Parts, Interval, Counted] {
      while (this->waitFor(Interval)) {
        bool Counts = Counted && this->IsCounting;
        int Status = this->sendOne(Node, Parts);
        this->SoundSent += Counts ? 1 : 0;
        this->SoundServed += Counts && Status == 200 ? 1 : 0;
      }
    });
}

void PromptLoad::restartTargets() {
  this->run([this] {
    std::map<int, Clock::time_point> EndedAt;
    while (this->waitFor(milliseconds(20)))
      for (int I = 1; I <= Targets; ++I) {
        std::lock_guard Lock(this->TargetMutex);
        if (this->Run.vm(target(I)).wait(milliseconds(0)) == -1)
          continue;
        EndedAt.try_emplace(I, Clock::now());
        if (Clock::now() - EndedAt[I] < RestartDelay)
          continue;
        EndedAt.erase(I);
        this->Run.startVm(target(I));
      }
  });
}

void PromptLoad::killTargets(int Count, milliseconds Interval) {
  for (int I = 1; I <= Count; ++I) {
    std::this_thread::sleep_for(Interval);
    std::lock_guard Lock(this->TargetMutex);
    this->Run.vm(target(I)).signal(SIGKILL);
  }
}

std::vector<std::uint64_t> PromptLoad::crashTimes(const std::string &Part) {
  std::vector<std::uint64_t> Times;
  for (int I = 1; I <= Targets; ++I) {
    std::istringstream Lines(this->Run.logOf(target(I)));
    std::string Word;
    std::string Kind;
    std::string Id;
    std::uint64_t Ms = 0;
    for (std::string Line; std::getline(Lines, Line);) {
      std::istringstream Fields(Line);
      if (Fields >> Word >> Kind >> Id >> Ms && Word == "crashed" &&
          Kind == "part" && Id == Part)
        Times.push_back(Ms);
    }
  }
  std::sort(Times.begin(), Times.end());
  return Times;
}

int PromptLoad::lateRuns(const std::string &Part) {
  std::vector<std::uint64_t> Times = this->crashTimes(Part);
  if (Times.size() <= AllowedCrashes)
    return 0;
  std::uint64_t Until =
      Times[AllowedCrashes - 1] + std::uint64_t(ContactTime.count());
  return static_cast<int>(
      std::count_if(Times.begin(), Times.end(),
                    [&](std::uint64_t Ms) { return Ms > Until; }));
}

} // namespace waycove::test
