// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/request_queue.h"

#include <algorithm>

namespace waycove {

namespace {

constexpr double MillisPerSecond = 1000;
/// Time for which a request is assumed to hold its place until one was
/// measured.
constexpr double DefaultHoldMs = 1000;
/// Weight of the newest measurement in the average hold time.
constexpr double HoldSmoothing = 0.1;
/// Fraction of the freed places on which late requests count at least, even if
/// new requests use all of them now. Most overloads end within the callers'
/// deadlines, and a late response is worth more to a caller than a refusal.
constexpr double MinLateFraction = 0.25;

} // namespace

template <QueueOrder Order>
auto BasicRequestQueue<Order>::turnOf(const PlaceRequest &Request, bool IsLate,
                                      TimePoint Now) const -> Turn {
  return {Request.Priority, IsLate, !Request.HasReturned,
          this->Use.of(Request.Workspace, Now),
          IsLate ? FirstCome::rankOf(Request) : Order::rankOf(Request)};
}

template <QueueOrder Order>
std::size_t BasicRequestQueue<Order>::countBefore(const Turn &Own,
                                                  TimePoint Now) const {
  return static_cast<std::size_t>(std::count_if(
      this->Waiting.begin(), this->Waiting.end(), [&](const auto &Row) {
        const PlaceRequest &Request = Row.second;
        return this->turnOf(Request, Request.isLate(Now), Now) < Own;
      }));
}

template <QueueOrder Order>
double BasicRequestQueue<Order>::freedPerSecond() const {
  double Hold = this->HoldMs > 0 ? this->HoldMs : DefaultHoldMs;
  return static_cast<double>(this->Limit) * MillisPerSecond / Hold;
}

template <QueueOrder Order>
Millis BasicRequestQueue<Order>::waitBehind(std::size_t Ahead,
                                            double RateFraction) const {
  std::size_t Needed = this->Holding.size() + Ahead + 1;
  if (Needed <= this->Limit)
    return Millis(0);
  double Seconds = static_cast<double>(Needed - this->Limit) /
                   (this->freedPerSecond() * RateFraction);
  return Millis(std::llround(Seconds * MillisPerSecond));
}

template <QueueOrder Order>
WaitForecast BasicRequestQueue<Order>::forecast(const PlaceRequest &Request,
                                                double InTimeRate,
                                                TimePoint Now) const {
  if (!Request.isLate(Now)) {
    std::size_t Ahead =
        this->countBefore(this->turnOf(Request, false, Now), Now);
    Millis Wait = this->waitBehind(Ahead, 1);
    if (!Request.isLate(Now + Wait))
      return {Wait, Ahead, false};
  }
  std::size_t Ahead = this->countBefore(this->turnOf(Request, true, Now), Now);
  double Left = 1 - InTimeRate / this->freedPerSecond();
  return {this->waitBehind(Ahead, std::max(Left, MinLateFraction)), Ahead,
          true};
}

template <QueueOrder Order>
QueueTicket BasicRequestQueue<Order>::add(const PlaceRequest &Request) {
  this->Last = this->Last.next();
  this->Waiting.emplace(this->Last, Request);
  return this->Last;
}

/// A late request holds its place for a second or more, in which new requests
/// that could be in time would find none. They need as many as they occupy on
/// average, and vary by the square root of it.
template <QueueOrder Order>
std::size_t BasicRequestQueue<Order>::reserve(double InTimeRate) const {
  double Load = InTimeRate / this->freedPerSecond();
  double Needed = Load * static_cast<double>(this->Limit);
  return static_cast<std::size_t>(
      std::round(std::sqrt(Needed) * std::min(Load * Load, 1.0)));
}

template <QueueOrder Order>
std::optional<QueueTicket> BasicRequestQueue<Order>::take(double InTimeRate,
                                                          TimePoint Now) {
  if (this->Waiting.empty() || this->Holding.size() >= this->Limit)
    return std::nullopt;
  bool MayBeLate =
      this->Holding.empty() ||
      this->Holding.size() + this->reserve(InTimeRate) < this->Limit;
  auto Next = this->Waiting.end();
  Turn Best;
  for (auto At = this->Waiting.begin(); At != this->Waiting.end(); ++At) {
    Turn Own = this->turnOf(At->second, At->second.isLate(Now), Now);
    if (Own.IsLate && !MayBeLate)
      continue;
    if (Next == this->Waiting.end() || Own < Best) {
      Best = Own;
      Next = At;
    }
  }
  if (Next == this->Waiting.end())
    return std::nullopt;
  QueueTicket Ticket = Next->first;
  this->Use.add(Next->second.Workspace, Next->second.Work, Now);
  this->Holding.insert(Ticket);
  this->Waiting.erase(Next);
  return Ticket;
}

template <QueueOrder Order>
bool BasicRequestQueue<Order>::withdraw(QueueTicket Ticket) {
  return this->Waiting.erase(Ticket) > 0;
}

template <QueueOrder Order>
void BasicRequestQueue<Order>::release(QueueTicket Ticket, Millis Held) {
  if (this->Holding.erase(Ticket) == 0)
    return;
  auto Sample = static_cast<double>(Held.count());
  this->HoldMs = this->HoldMs > 0
                     ? this->HoldMs + HoldSmoothing * (Sample - this->HoldMs)
                     : Sample;
}

template class BasicRequestQueue<FirstCome>;
template class BasicRequestQueue<EarliestObjective>;
template class BasicRequestQueue<NewestFirst>;

} // namespace waycove
