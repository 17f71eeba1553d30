// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "base/socket_poller.h"

#include "base/crash_log.h"
#include "base/report_error.h"

#include <algorithm>
#include <thread>

namespace waycove {

void SocketPoller::start() {
  std::thread([this] { this->run(); }).detach();
}

void SocketPoller::await(const Poco::Net::Socket &Socket, TimePoint Until,
                         Callbacks On) {
  std::lock_guard Lock(this->Mutex);
  // First, since a socket that is polled without a callback would be noticed
  // again and again.
  auto At = this->Waits.insert_or_assign(Socket, Wait{Until, std::move(On)});
  try {
    this->Sockets.add(Socket, Poco::Net::PollSet::POLL_READ);
  } catch (const std::exception &) {
    this->Waits.erase(At.first);
    throw;
  }
}

void SocketPoller::callLater(TimePoint Due, Callback Function,
                             std::string_view Name) {
  std::lock_guard Lock(this->Mutex);
  this->DelayedCalls.push_back({Due, {std::move(Function), Name}});
}

bool SocketPoller::cancel(const Poco::Net::Socket &Socket) {
  std::lock_guard Lock(this->Mutex);
  if (!this->Waits.contains(Socket) ||
      Socket.poll(Poco::Timespan(), Poco::Net::Socket::SELECT_READ))
    return false;
  this->Sockets.remove(Socket);
  this->Waits.erase(Socket);
  return true;
}

void SocketPoller::run() {
  SignalStack OfThisThread;
  while (true) {
    try {
      this->pollOnce();
    } catch (const std::exception &Error) {
      this->reportFailure("poll", Error.what());
      std::this_thread::sleep_for(RetryDelay);
    }
  }
}

void SocketPoller::pollOnce() {
  Millis Timeout = this->pollTimeout(BootClock::now());
  // Returns at once for an empty set.
  if (this->Sockets.empty())
    std::this_thread::sleep_for(Timeout);
  for (const auto &[Socket, Mode] : this->Sockets.poll(
           Poco::Timespan(Timeout.count() * Poco::Timespan::MILLISECONDS)))
    this->onReadable(Socket);
  TimePoint Now = BootClock::now();
  this->runDelayed(Now);
  if (Now >= this->SweepDue) {
    this->sweep(Now);
    this->SweepDue = Now + SweepInterval;
  }
}

void SocketPoller::reportFailure(std::string_view Name,
                                 const char *Reason) noexcept {
  if (this->OnFailure)
    reportError([&](const std::string &Text) { this->OnFailure(Name, Text); },
                Reason);
}

Millis SocketPoller::pollTimeout(TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  TimePoint Until = Now + SweepInterval;
  for (const DelayedCall &Call : this->DelayedCalls)
    Until = std::min(Until, Call.Due);
  return std::max(std::chrono::ceil<Millis>(Until - Now), Millis(0));
}

void SocketPoller::runCallback(const NamedCall &Call) {
  TimePoint Begin = BootClock::now();
  try {
    Call.Function();
  } catch (const std::exception &Error) {
    this->reportFailure(Call.Name, Error.what());
  }
  auto Took = std::chrono::duration_cast<Millis>(BootClock::now() - Begin);
  if (Took > MaxCallbackTime && this->OnDelay)
    this->OnDelay(Call.Name, Took);
}

void SocketPoller::onReadable(const Poco::Net::Socket &Socket) {
  NamedCall Call;
  {
    std::lock_guard Lock(this->Mutex);
    auto At = this->Waits.find(Socket);
    if (At == this->Waits.end())
      return;
    Call = {std::move(At->second.On.OnReadable), At->second.On.Name};
    this->Sockets.remove(Socket);
    this->Waits.erase(At);
  }
  this->runCallback(Call);
}

void SocketPoller::runDelayed(TimePoint Now) {
  std::vector<NamedCall> Due;
  {
    std::lock_guard Lock(this->Mutex);
    // No call is lost where memory is short.
    Due.reserve(this->DelayedCalls.size());
    std::erase_if(this->DelayedCalls, [&](DelayedCall &Delayed) {
      if (Delayed.Due > Now)
        return false;
      Due.push_back(std::move(Delayed.Call));
      return true;
    });
  }
  for (const NamedCall &Call : Due)
    this->runCallback(Call);
}

void SocketPoller::sweep(TimePoint Now) {
  for (const NamedCall &Call : this->takeExpired(Now))
    this->runCallback(Call);
}

std::vector<SocketPoller::NamedCall> SocketPoller::takeExpired(TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  std::vector<NamedCall> Due;
  Due.reserve(static_cast<std::size_t>(std::count_if(
      this->Waits.begin(), this->Waits.end(),
      [Now](const auto &Row) { return Row.second.Until <= Now; })));
  for (auto At = this->Waits.begin(); At != this->Waits.end();) {
    if (At->second.Until > Now) {
      ++At;
      continue;
    }
    Due.push_back({std::move(At->second.On.OnExpired), At->second.On.Name});
    this->Sockets.remove(At->first);
    At = this->Waits.erase(At);
  }
  return Due;
}

} // namespace waycove
