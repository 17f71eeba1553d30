// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "edge/daemon.h"

#include "control/group_controller.h"
#include "control/log_follower.h"
#include "control/peers.h"
#include "control/views.h"
#include "control/vm_list_follower.h"
#include "edge/callers.h"
#include "edge/operators.h"
#include "edge/platform.h"
#include "edge/serve.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>

namespace waycove {

namespace {

constexpr Millis RoundEvery(100);
constexpr Millis ViewsEvery(20);
constexpr Millis VmListEvery(500);
constexpr Millis PruneEvery(1000);
constexpr Millis StopLinger(3000);
constexpr int RequestStackBytes = 256 << 10;
constexpr int ListenBacklog = 1024;

using Binder = ClaimBinder<HttpLog>;
using Caller = Server<HttpEngine, HttpPlain, Binder>;

/// Runs \p Step over and over, pausing for as long as it says.
std::jthread loop(std::function<Millis()> Step) {
  return std::jthread([Step = std::move(Step)](const std::stop_token &Stop) {
    while (!Stop.stop_requested()) {
      Millis Pause = Step();
      if (Pause.count() > 0)
        std::this_thread::sleep_for(Pause);
    }
  });
}

} // namespace

struct Daemon::Parts {
  explicit Parts(const Settings &Given)
      : Tables(Given, IncarnationId(randomId())), Fold(Tables),
        Log(Tables.Config, Tables.Counters),
        List(Tables.Config, Tables.Counters), Submit(Tables, Fold, Log),
        Keys(Tables, Submit), Models(Tables.Config),
        Control(Tables.Config, Tables.Counters),
        Services(Tables.Config, Tables.Counters), Others(Tables),
        Serve(Tables, Models, Services, Keys, Others), Admin(Tables, Submit),
        Follow(Tables, Fold, Log), Watch(Tables, List), Views(Tables),
        Groups(Tables, Submit, Control),
        Peers(Tables, Fold,
              [this](FrameSocket &Frames, const wire::ForwardT &Asked) {
                this->serveForward(Frames, Asked);
              }) {}

  void serveForward(FrameSocket &Frames, const wire::ForwardT &Asked) {
    PeerSink Into(Frames, this->Tables.Clock);
    absl::StatusOr<CallerRequest> Request =
        fromForward(Asked, SystemClock{}.now());
    if (Request.ok())
      this->Serve.serve(*Request, Into);
    else
      sendError(Into, Request.status());
  }

  void pruneOnce() {
    WallMs Fold = this->Tables.State.read(
        [](const FoldState &State) { return State.clock(); });
    WallMs Now = std::min(Fold, SystemClock{}.wall());
    this->Tables.Idempotency.write(
        [&](IdempotencyTable &Rows) { Rows.prune(Now); });
  }

  Board Tables;
  RecordFolder Fold;
  HttpLog Log;
  HttpVmList List;
  Submitter<HttpLog> Submit;
  Binder Keys;
  HttpEngine Models;
  HttpEngineControl Control;
  HttpPlain Services;
  Forwarder Others;
  Caller Serve;
  Operators<HttpLog> Admin;
  LogFollower<HttpLog> Follow;
  VmListFollower<HttpVmList> Watch;
  ViewBuilder Views;
  GroupController<HttpEngineControl, HttpLog> Groups;
  PeerExchange Peers;
  std::unique_ptr<Poco::ThreadPool> HttpThreads;
  std::unique_ptr<Poco::Net::HTTPServer> Http;
  TimePoint StopBegan;
  std::vector<std::jthread> Loops;
};

namespace {

/// Answers one HTTP request, whichever it is.
template <typename Parts> class Handler : public Poco::Net::HTTPRequestHandler {
public:
  explicit Handler(Parts &Owner) : Owner(Owner) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    HttpSink Into(Request, Response);
    if (hasTwoFramings(Request))
      sendError(Into, makeError(ErrorKind::BadRequest,
                                "both Content-Length and Transfer-Encoding"));
    else
      this->answer(Request, Into);
    if (!isBodyRead(Request))
      dropBody(Request);
  }

private:
  void answer(Poco::Net::HTTPServerRequest &Request, HttpSink &Into) {
    const std::string &Uri = Request.getURI();
    if (Uri == "/healthz")
      sendWhole(Into, 200, "text/plain", "ok\n");
    else if (Uri == "/readyz")
      this->ready(Into);
    else if (Uri == "/metrics")
      sendWhole(Into, 200, "text/plain; version=0.0.4",
                this->Owner.Tables.Counters.text());
    else if (Uri.rfind("/operator/v1/", 0) == 0)
      this->Owner.Admin.handle(Request, Into);
    else if (Uri == "/v1/tickets")
      this->ticket(Request, Into);
    else
      this->serve(Request, Into);
  }

  void ready(HttpSink &Into) {
    if (this->Owner.Tables.Stopping)
      sendError(Into, makeError(ErrorKind::Stopping, "stopping"));
    else if (!this->Owner.Tables.Ready ||
             (this->Owner.Tables.LogUp && !this->Owner.Tables.VmsKnown))
      sendError(Into, makeError(ErrorKind::NotReady, "not ready"));
    else
      sendWhole(Into, 200, "text/plain", "ready\n");
  }

  void ticket(Poco::Net::HTTPServerRequest &Request, HttpSink &Into) {
    bool Known = this->Owner.Tables.State.read([&](const FoldState &State) {
      return State.workspaceByDigest(digestKey(bearerOf(Request))) != nullptr;
    });
    if (!Known) {
      sendError(Into, makeError(ErrorKind::Unauthenticated,
                                "no workspace has this key"));
      return;
    }
    if (this->Owner.Tables.Stopping) {
      sendError(Into, makeError(ErrorKind::Stopping, "stopping"));
      return;
    }
    Poco::JSON::Object Body;
    Body.set("ticket", this->Owner.Serve.mintTicket().Text);
    sendWhole(Into, 200, "application/json", dumpJson(Body));
  }

  void serve(Poco::Net::HTTPServerRequest &Request, HttpSink &Into) {
    absl::StatusOr<CallerRequest> Asked =
        readCaller(Request, this->Owner.Tables);
    if (Asked.ok())
      this->Owner.Serve.serve(*Asked, Into);
    else
      sendError(Into, Asked.status());
  }

  Parts &Owner;
};

template <typename Parts>
class Handlers : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit Handlers(Parts &Owner) : Owner(Owner) {}
  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new Handler<Parts>(this->Owner);
  }

private:
  Parts &Owner;
};

} // namespace

Daemon::Daemon(const Settings &Config)
    : Inside(std::make_unique<Parts>(Config)) {}

Daemon::~Daemon() {
  if (this->Inside->Http)
    this->Inside->Http->stopAll(true);
  for (std::jthread &Row : this->Inside->Loops)
    Row.request_stop();
  this->Inside->Tables.GossipRequested.set();
  this->Inside->Loops.clear();
  this->Inside->Tables.Log.emit(
      EventCode::DaemonStopped, this->Inside->Tables.Self.Node.Text,
      std::to_string(this->inFlight()) + " requests cut");
}

void Daemon::start() {
  Parts &In = *this->Inside;
  const Settings &Config = In.Tables.Config;
  In.Peers.start();
  In.Loops.push_back(loop([&In] { return In.Follow.step(); }));
  In.Loops.push_back(loop([&In] {
    In.Watch.step();
    return VmListEvery;
  }));
  In.Loops.push_back(loop([&In] {
    In.Views.refresh();
    return ViewsEvery;
  }));
  In.Loops.push_back(loop([&In] {
    In.Groups.step(SystemClock{}.now());
    return RoundEvery;
  }));
  In.Loops.push_back(loop([&In] {
    In.pruneOnce();
    return PruneEvery;
  }));
  In.Loops.push_back(loop([&In, Last = TimePoint()]() mutable {
    // Urgent news goes out between heartbeats, a little gathered.
    bool Urgent = In.Tables.GossipRequested.tryWait(20);
    TimePoint Now = SystemClock{}.now();
    if (Now - Last >= In.Tables.Config.HeartbeatInterval) {
      Last = Now;
      In.Peers.tick(Now);
    } else if (Urgent) {
      In.Peers.flush(Now, false);
    }
    return Millis(0);
  }));
  auto Params = Poco::AutoPtr<Poco::Net::HTTPServerParams>(
      new Poco::Net::HTTPServerParams);
  Params->setMaxThreads(static_cast<int>(Config.MaxStreams));
  Params->setMaxQueued(static_cast<int>(Config.MaxStreams));
  Params->setKeepAlive(true);
  Params->setKeepAliveTimeout(Poco::Timespan(15, 0));
  Params->setTimeout(Poco::Timespan(20, 0));
  In.HttpThreads = std::make_unique<Poco::ThreadPool>(
      "http", 8, static_cast<int>(Config.MaxStreams), 30, RequestStackBytes);
  Poco::Net::ServerSocket Socket;
  Socket.bind(Poco::Net::SocketAddress(Config.Http.Host, Config.Http.Port),
              true, false);
  Socket.listen(ListenBacklog);
  In.Http = std::make_unique<Poco::Net::HTTPServer>(
      new Handlers<Parts>(In), *In.HttpThreads, Socket, Params);
  In.Http->start();
  In.Tables.Log.emit(EventCode::DaemonStarted, Config.Node.Text,
                     "callers at " + Config.Http.text() + ", peers at " +
                         Config.PeerListen.text());
}

void Daemon::beginStop() {
  this->Inside->StopBegan = SystemClock{}.now();
  this->Inside->Tables.Stopping = true;
  this->Inside->Tables.GossipRequested.set();
  this->Inside->Tables.Log.emit(
      EventCode::DaemonStopping, this->Inside->Tables.Self.Node.Text,
      std::to_string(this->inFlight()) + " requests in flight");
}

bool Daemon::isDrained() const {
  const Board &Tables = this->Inside->Tables;
  if (this->inFlight() > 0)
    return false;
  TimePoint Now = SystemClock{}.now();
  // Requests on their way here while others had not yet heard of the stop.
  if (Now - this->Inside->StopBegan < 2 * Tables.Config.HeartbeatInterval)
    return false;
  if (Now - this->Inside->StopBegan > StopLinger ||
      Tables.controllers(Now).empty())
    return true;
  return Tables.Health.read([&](const HealthTable &Rows) {
    return std::none_of(
        Rows.rows().begin(), Rows.rows().end(),
        [&](const auto &Row) { return Row.second.Owner == Tables.Self.Hash; });
  });
}

std::uint32_t Daemon::inFlight() const {
  return this->Inside->Tables.InFlight.load();
}

} // namespace waycove
