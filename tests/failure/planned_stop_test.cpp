// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// A planned stop of one entry in calm, with callers that keep their connections
// and open new ones until the process is gone.
#include "support/entry_fixture.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <csignal>
#include <mutex>
#include <sstream>
#include <thread>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

/// Streams that keep the process alive for most of its grace of 4 s.
constexpr int TokenMs = 85;
constexpr int Callers = 4;
/// From when on new requests are refused: half of the grace, and some time for
/// the process to look.
constexpr milliseconds RefusedFrom(2300);

/// One request of a caller.
struct StopCall {
  std::string Id;
  /// From the order to stop until the request was sent.
  milliseconds SentAfter{0};
  /// 0 if there was no whole answer.
  int Status = 0;
};

} // namespace

struct PlannedStopFixture : EntryFixture {
  PlannedStopFixture() : EntryFixture("", false, TokenMs) {
    this->faultAll("p", 2, "half_second");
  }

  /// Sends once-only requests, one after the other, on connections that are
  /// kept or not, until the entry refuses connections.
  void callUntilGone(int Caller, bool Keeps) {
    Poco::Net::HTTPClientSession Session("127.0.0.1", this->Run.httpPort("n1"));
    Session.setKeepAlive(Keeps);
    for (int Number = 0;; ++Number) {
      StopCall Call{std::to_string(Caller) + "-" + std::to_string(Number)};
      try {
        Call.SentAfter =
            std::chrono::duration_cast<milliseconds>(Clock::now() - this->Stop);
        Call.Status = exchange(Session, Call.Id);
      } catch (const Poco::Net::ConnectionRefusedException &) {
        return;
      } catch (const Poco::Exception &) {
        // The connection ended without an answer.
        Session.reset();
      }
      if (Call.Status == 503)
        std::this_thread::sleep_for(milliseconds(20));
      std::lock_guard Lock(this->Mutex);
      this->Calls.push_back(Call);
    }
  }
  static int exchange(Poco::Net::HTTPClientSession &Session,
                      const std::string &Id) {
    Poco::Net::HTTPRequest Request("POST", "/once/x", "HTTP/1.1");
    Request.set("Host", "a.example");
    Request.set("Authorization", "Bearer key-1");
    Request.set("X-Request-Id", Id);
    Request.set("X-Deadline-Ms", "6000");
    Request.setContentLength(4);
    Session.sendRequest(Request) << "body" << std::flush;
    Poco::Net::HTTPResponse Response;
    std::string Body;
    Poco::StreamCopier::copyToString(Session.receiveResponse(Response), Body);
    bool IsWhole =
        static_cast<std::int64_t>(Body.size()) == Response.getContentLength64();
    return IsWhole ? Response.getStatus() : 0;
  }
  bool hasRun(const std::string &Id) {
    const std::string Line = "ran " + Id + "\n";
    return this->Run.logOf("p-1").find(Line) != std::string::npos ||
           this->Run.logOf("p-2").find(Line) != std::string::npos;
  }

  Clock::time_point Stop = Clock::now();
  std::mutex Mutex;
  std::vector<StopCall> Calls;
};

// Guards against requests that come late in the grace, are passed on, and are
// cut at its end.
TEST_CASE_METHOD(PlannedStopFixture,
                 "planned stop: requests come until the process is gone: those "
                 "that ran are answered, late ones are refused as not run",
                 "[failure]") {
  std::thread Stream([&] { this->call("/chat/x", "stream"); });
  std::this_thread::sleep_for(milliseconds(100));
  this->Stop = Clock::now();
  std::vector<std::thread> Threads;
  Threads.reserve(Callers);
  for (int I = 0; I < Callers; ++I)
    Threads.emplace_back([this, I] { this->callUntilGone(I, I % 2 == 0); });
  this->Run.node("n1").signal(SIGTERM);
  for (std::thread &Row : Threads)
    Row.join();
  Stream.join();
  int Served = 0;
  int Refused = 0;
  for (const StopCall &Call : this->Calls) {
    INFO(Call.Id << " sent after " << Call.SentAfter.count() << " ms: status "
                 << Call.Status);
    CHECK((Call.Status == 200 || Call.Status == 503 || Call.Status == 0));
    CHECK(this->hasRun(Call.Id) == (Call.Status == 200));
    if (Call.SentAfter > RefusedFrom)
      CHECK(Call.Status != 200);
    Served += Call.Status == 200;
    Refused += Call.Status == 503;
  }
  CHECK(Served > 0);
  CHECK(Refused > 0);
  CHECK(this->Run.node("n1").wait(milliseconds(1000)) == 0);
}

} // namespace waycove::test
