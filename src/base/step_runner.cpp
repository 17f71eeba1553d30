// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "base/step_runner.h"

#include "base/crash_log.h"
#include "base/errors.h"

#include <thread>

namespace waycove {

StepId StepRunner::add(Step Work) {
  this->Entries.push_back({std::move(Work), TimePoint(), false, false});
  return StepId(this->Entries.size() - 1);
}

StepId StepRunner::add(std::function<Millis()> Work) {
  return this->add({.Poll = std::move(Work), .Run = {}});
}

void StepRunner::start() {
  std::thread([this] { this->runAll(); }).detach();
}

void StepRunner::wake(StepId Id) {
  std::lock_guard Lock(this->Mutex);
  Entry &Woken = this->Entries[Id.Value];
  Woken.WasWoken = Woken.IsBusy;
  if (Woken.IsBusy)
    return;
  Woken.Due = TimePoint();
  this->Changed.notify_one();
}

void StepRunner::runAll() {
  SignalStack OfThisThread;
  while (true)
    this->poll(this->awaitDue());
}

StepRunner::Entry *StepRunner::findNext() {
  Entry *First = nullptr;
  for (Entry &Candidate : this->Entries)
    if (!Candidate.IsBusy && (!First || Candidate.Due < First->Due))
      First = &Candidate;
  return First;
}

StepRunner::Entry &StepRunner::awaitDue() {
  std::unique_lock Lock(this->Mutex);
  while (true) {
    Entry *Next = this->findNext();
    if (Next && Next->Due <= BootClock::now()) {
      Next->IsBusy = true;
      return *Next;
    }
    this->WaitsUntil = Next ? Next->Due : TimePoint::max();
    waitUntil(this->Changed, Lock, this->WaitsUntil, [&] {
      Entry *First = this->findNext();
      return First && First->Due < this->WaitsUntil;
    });
  }
}

void StepRunner::poll(Entry &Next) {
  try {
    if (std::optional<Millis> Pause = Next.Work.Poll())
      this->finish(Next, *Pause);
    else
      this->startRun(Next);
  } catch (const std::exception &Error) {
    reportError(this->OnError, Error.what());
    this->finish(Next, RetryDelay);
  }
}

void StepRunner::startRun(Entry &Next) {
  absl::Status Started =
      this->Threads.post([this, &Next] { this->runBlocking(Next); });
  if (Started.ok())
    return;
  reportError(this->OnError, messageOf(Started).c_str());
  this->finish(Next, RetryDelay);
}

void StepRunner::runBlocking(Entry &Next) {
  try {
    std::optional<Millis> Pause;
    while (!Pause) {
      Pause = Next.Work.Run();
      // Often there is more to do; another thread need not be started for it.
      if (*Pause == Millis(0))
        Pause = Next.Work.Poll();
    }
    this->finish(Next, *Pause);
  } catch (const std::exception &Error) {
    reportError(this->OnError, Error.what());
    this->finish(Next, RetryDelay);
  }
}

void StepRunner::finish(Entry &Done, Millis Pause) {
  TimePoint Due = BootClock::now() + Pause;
  std::lock_guard Lock(this->Mutex);
  Done.IsBusy = false;
  Done.Due = std::exchange(Done.WasWoken, false) ? TimePoint() : Due;
  if (Done.Due < this->WaitsUntil)
    this->Changed.notify_one();
}

} // namespace waycove
