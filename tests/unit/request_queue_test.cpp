// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// In which order the requests of a node get places, and the waits it predicts.
#include "policy/request_queue.h"
#include "support/times.h"

#include <catch2/catch.hpp>

namespace waycove::test {

struct RequestQueueFixture {
  static PlaceRequest request(int ArrivedMs, std::optional<int> InTimeMs = {},
                              const char *Workspace = "w",
                              std::uint64_t Work = 1) {
    std::optional<TimePoint> InTime;
    if (InTimeMs)
      InTime = at(*InTimeMs);
    return {0, WorkspaceId(Workspace), Tokens(Work), at(ArrivedMs), InTime, {}};
  }
  QueueTicket hold() {
    this->Queue.add(request(0));
    return this->Queue.take(0, at(0)).value();
  }
  /// Takes requests, one after the other at a single place.
  std::vector<QueueTicket> drain(std::size_t Most = 100) {
    std::vector<QueueTicket> Order;
    for (this->Queue.setLimit(1); Order.size() < Most && this->Queue.waiting();
         this->Queue.release(Order.back(), Millis(1000)))
      Order.push_back(this->Queue.take(0, at(2000)).value());
    return Order;
  }
  RequestQueue Queue;
};

// Guards against requests that can no longer be in time delaying those that
// can, and against late requests overtaking each other.
TEST_CASE_METHOD(RequestQueueFixture,
                 "request queue: order: late after all in time", "[unit]") {
  // Expected order.
  const int Arrived[] = {0, 100, 1500, 50, 900, 10, 700, 800};
  const int InTime[] = {1000, 3000, 3000, 3000, 1000, 1000, 1500, 1200};
  std::vector<PlaceRequest> Order;
  for (std::size_t I = 0; I < std::size(Arrived); ++I) {
    Order.push_back(request(Arrived[I], InTime[I]));
    Order[I].Priority = I > 0;
  }
  Order[1].HasReturned = Order[4].HasReturned = true;
  std::vector<QueueTicket> Expected;
  for (auto At = Order.rbegin(); At != Order.rend(); ++At)
    Expected.insert(Expected.begin(), this->Queue.add(*At));
  CHECK(this->drain() == Expected);
}

// Guards against a workspace with long requests that starves others.
TEST_CASE_METHOD(RequestQueueFixture,
                 "request queue: workspaces: each gets the same work",
                 "[unit]") {
  std::set<QueueTicket> Large;
  for (int I = 0; I < 10; ++I) {
    Large.insert(this->Queue.add(request(I, {}, "large", 300)));
    this->Queue.add(request(0, {}, "small", 100));
  }
  std::size_t OfLarge = 0;
  for (QueueTicket Ticket : this->drain(8))
    OfLarge += Large.count(Ticket);
  CHECK(OfLarge == 2);
}

TEST_CASE_METHOD(RequestQueueFixture,
                 "request queue: forecast: by queue and arrivals", "[unit]") {
  this->Queue.setLimit(2);
  CHECK(this->Queue.forecast(request(0), 100, at(0)).Wait == Millis(0));
  QueueTicket First = this->hold();
  this->hold();
  this->Queue.add(request(10));
  this->Queue.add(request(20));
  WaitForecast Newest = this->Queue.forecast(request(30), 100, at(30));
  CHECK((Newest.Ahead == 0 && Newest.Wait == Millis(500) && !Newest.IsLate));
  WaitForecast Oldest = this->Queue.forecast(request(5), 100, at(30));
  CHECK((Oldest.Ahead == 2 && Oldest.Wait == Millis(1500)));
  for (auto [Rate, Ms] : {std::pair(0, 1500), {1, 3000}, {1000, 6000}}) {
    // In time now, but no longer after the wait of 500 ms.
    WaitForecast Late = this->Queue.forecast(request(30, 400), Rate, at(30));
    CHECK((Late.Ahead == 2 && Late.IsLate && Late.Wait == Millis(Ms)));
  }
  this->Queue.release(First, Millis(500));
  CHECK(this->Queue.forecast(request(5), 0, at(30)).Wait == Millis(500));
}

// Guards against late requests that hold all places when new ones arrive.
TEST_CASE_METHOD(RequestQueueFixture,
                 "request queue: late ones: leave places for new", "[unit]") {
  this->Queue.setLimit(1);
  this->Queue.add(request(0, 100));
  // A node without requests in flight always sends one.
  CHECK(this->Queue.take(1e6, at(1000)));
  this->Queue.setLimit(16);
  for (int I = 0; I < 20; ++I)
    this->Queue.add(request(I, 100));
  while (this->Queue.take(16, at(1000)))
    continue;
  CHECK(this->Queue.inFlight() == 12);
  this->Queue.add(request(1000, 1500));
  CHECK(this->Queue.take(16, at(1000)));
  CHECK_FALSE(this->Queue.take(16, at(1000)));
  CHECK(this->Queue.take(0, at(1000)));
}

TEST_CASE_METHOD(RequestQueueFixture,
                 "request queue: withdraw, release: once each", "[unit]") {
  QueueTicket Held = this->hold();
  QueueTicket Waits = this->Queue.add(request(0));
  CHECK_FALSE(this->Queue.withdraw(Held));
  this->Queue.release(Waits, Millis(9000));
  CHECK((this->Queue.waiting() == 1 && this->Queue.inFlight() == 1));
  CHECK(this->Queue.withdraw(Waits));
  CHECK_FALSE(this->Queue.withdraw(Waits));
  this->Queue.release(Held, Millis(1000));
  this->Queue.release(Held, Millis(9000));
  CHECK((this->Queue.waiting() == 0 && this->Queue.inFlight() == 0));
  this->Queue.release(this->hold(), Millis(2000));
  CHECK(this->Queue.usualHold() == Millis(1100));
}

} // namespace waycove::test
