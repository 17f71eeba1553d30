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
#include "edge/checked_socket.h"
#include "edge/operators.h"
#include "edge/platform.h"
#include "edge/serve.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>

namespace waycove {

namespace {

constexpr Millis GroupStepInterval(100);
constexpr Millis ViewRefreshInterval(20);
constexpr Millis VmListPollInterval(500);
constexpr Millis PruneInterval(1000);
constexpr Millis MaxHandoverWait(3000);
constexpr int RequestStackBytes = 256 << 10;
constexpr int ListenBacklog = 1024;

using Binder = ClaimBinder<HttpLog>;
using RequestServer = Server<HttpEngine, HttpPlainService, Binder>;

/// Runs \p Step repeatedly, with the pause that it returns in between.
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
  explicit Parts(const Settings &Config)
      : Tables(Config, IncarnationId(randomId())), Fold(Tables),
        Log(Tables.Config, Tables.Counters),
        List(Tables.Config, Tables.Counters), Submit(Tables, Fold, Log),
        Keys(Tables, Submit), Models(Tables.Config),
        Control(Tables.Config, Tables.Counters),
        Services(Tables.Config, Tables.Counters), PeerForwarder(Tables),
        Serve(Tables, Models, Services, Keys, PeerForwarder),
        Admin(Tables, Submit), LogReader(Tables, Fold, Log),
        VmListReader(Tables, List), Views(Tables),
        Groups(Tables, Submit, Control),
        Peers(Tables, Fold,
              [this](FrameSocket &Frames, const wire::ForwardT &Forward) {
                this->serveForward(Frames, Forward);
              }) {}

  void serveForward(FrameSocket &Frames, const wire::ForwardT &Forward) {
    PeerSink Sink(Frames, this->Tables.Clock);
    absl::StatusOr<CallerRequest> Request =
        fromForward(Forward, SystemClock{}.now());
    if (Request.ok())
      this->Serve.serve(*Request, Sink);
    else
      sendError(Sink, Request.status());
  }

  void pruneOnce() {
    WallMs Fold = this->Tables.State.read(
        [](const FoldState &State) { return State.clock(); });
    WallMs Now = std::min(Fold, SystemClock{}.wall());
    this->Tables.Idempotency.write(
        [&](IdempotencyTable &Table) { Table.prune(Now); });
  }

  Board Tables;
  RecordFolder Fold;
  HttpLog Log;
  HttpVmList List;
  Submitter<HttpLog> Submit;
  Binder Keys;
  HttpEngine Models;
  HttpEngineControl Control;
  HttpPlainService Services;
  Forwarder PeerForwarder;
  RequestServer Serve;
  Operators<HttpLog> Admin;
  LogFollower<HttpLog> LogReader;
  VmListFollower<HttpVmList> VmListReader;
  ViewBuilder Views;
  GroupController<HttpEngineControl, HttpLog> Groups;
  PeerExchange Peers;
  std::unique_ptr<Poco::ThreadPool> HttpThreads;
  std::unique_ptr<Poco::Net::HTTPServer> Http;
  TimePoint StopBegan;
  std::vector<std::jthread> Loops;
};

namespace {

/// Routes HTTP requests to the endpoints of the daemon.
template <typename Parts> class Handler : public Poco::Net::HTTPRequestHandler {
public:
  explicit Handler(Parts &Owner) : Owner(Owner) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    HttpSink Sink(Request, Response);
    if (hasConflictingFraming(Request))
      sendError(Sink, makeError(ErrorKind::BadRequest,
                                "both Content-Length and Transfer-Encoding"));
    else
      this->route(Request, Sink);
    if (!isBodyRead(Request))
      discardBody(Request);
  }

private:
  void route(Poco::Net::HTTPServerRequest &Request, HttpSink &Sink) {
    const std::string &Uri = Request.getURI();
    if (Uri == "/healthz")
      sendWhole(Sink, 200, "text/plain", "ok\n");
    else if (Uri == "/readyz")
      this->ready(Sink);
    else if (Uri == "/metrics")
      sendWhole(Sink, 200, "text/plain; version=0.0.4",
                this->Owner.Tables.Counters.text());
    else if (Uri.rfind("/operator/v1/", 0) == 0)
      this->Owner.Admin.handle(Request, Sink);
    else if (Uri == "/v1/tickets")
      this->ticket(Request, Sink);
    else
      this->serve(Request, Sink);
  }

  void ready(HttpSink &Sink) {
    if (this->Owner.Tables.Stopping)
      sendError(Sink, makeError(ErrorKind::Stopping, "stopping"));
    else if (!this->Owner.Tables.Ready ||
             (this->Owner.Tables.LogUp && !this->Owner.Tables.VmsKnown))
      sendError(Sink, makeError(ErrorKind::NotReady, "not ready"));
    else
      sendWhole(Sink, 200, "text/plain", "ready\n");
  }

  void ticket(Poco::Net::HTTPServerRequest &Request, HttpSink &Sink) {
    bool Known = this->Owner.Tables.State.read([&](const FoldState &State) {
      return State.workspaceByDigest(digestKey(bearerToken(Request))) !=
             nullptr;
    });
    if (!Known) {
      sendError(Sink, makeError(ErrorKind::Unauthenticated,
                                "no workspace has this key"));
      return;
    }
    if (this->Owner.Tables.Stopping) {
      sendError(Sink, makeError(ErrorKind::Stopping, "stopping"));
      return;
    }
    Poco::JSON::Object Body;
    Body.set("ticket", this->Owner.Serve.mintTicket().Text);
    sendWhole(Sink, 200, "application/json", dumpJson(Body));
  }

  void serve(Poco::Net::HTTPServerRequest &Request, HttpSink &Sink) {
    absl::StatusOr<CallerRequest> Parsed =
        readCallerRequest(Request, this->Owner.Tables);
    if (Parsed.ok())
      this->Owner.Serve.serve(*Parsed, Sink);
    else
      sendError(Sink, Parsed.status());
  }

  Parts &Owner;
};

template <typename Parts>
class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit HandlerFactory(Parts &Owner) : Owner(Owner) {}
  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new Handler<Parts>(this->Owner);
  }

private:
  Parts &Owner;
};

} // namespace

Daemon::Daemon(const Settings &Config)
    : Impl(std::make_unique<Parts>(Config)) {}

Daemon::~Daemon() {
  if (this->Impl->Http)
    this->Impl->Http->stopAll(true);
  for (std::jthread &Loop : this->Impl->Loops)
    Loop.request_stop();
  this->Impl->Tables.GossipRequested.set();
  this->Impl->Loops.clear();
  this->Impl->Tables.Log.emit(
      EventCode::DaemonStopped, this->Impl->Tables.Self.Node.Text,
      std::to_string(this->inFlight()) + " requests cut");
}

void Daemon::start() {
  Parts &In = *this->Impl;
  const Settings &Config = In.Tables.Config;
  In.Peers.start();
  In.Loops.push_back(loop([&In] { return In.LogReader.step(); }));
  In.Loops.push_back(loop([&In] {
    In.VmListReader.step();
    return VmListPollInterval;
  }));
  In.Loops.push_back(loop([&In] {
    In.Views.refresh();
    return ViewRefreshInterval;
  }));
  In.Loops.push_back(loop([&In] {
    In.Groups.step(SystemClock{}.now());
    return GroupStepInterval;
  }));
  In.Loops.push_back(loop([&In] {
    In.pruneOnce();
    return PruneInterval;
  }));
  In.Loops.push_back(loop([&In, Last = TimePoint()]() mutable {
    // Requested gossip is flushed between heartbeats.
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
  CheckedServerSocket Socket;
  Socket.bind(Poco::Net::SocketAddress(Config.Http.Host, Config.Http.Port),
              true, false);
  Socket.listen(ListenBacklog);
  In.Http = std::make_unique<Poco::Net::HTTPServer>(
      new HandlerFactory<Parts>(In), *In.HttpThreads, Socket, Params);
  In.Http->start();
  In.Tables.Log.emit(EventCode::DaemonStarted, Config.Node.Text,
                     "callers at " + Config.Http.text() + ", peers at " +
                         Config.PeerListen.text());
}

void Daemon::beginStop() {
  this->Impl->StopBegan = SystemClock{}.now();
  this->Impl->Tables.Stopping = true;
  this->Impl->Tables.GossipRequested.set();
  this->Impl->Tables.Log.emit(
      EventCode::DaemonStopping, this->Impl->Tables.Self.Node.Text,
      std::to_string(this->inFlight()) + " requests in flight");
}

bool Daemon::isDrained() const {
  const Board &Tables = this->Impl->Tables;
  if (this->inFlight() > 0)
    return false;
  TimePoint Now = SystemClock{}.now();
  // Peers may still forward requests until a heartbeat reports the stop.
  if (Now - this->Impl->StopBegan < 2 * Tables.Config.HeartbeatInterval)
    return false;
  if (Now - this->Impl->StopBegan > MaxHandoverWait ||
      Tables.controllers(Now).empty())
    return true;
  return Tables.Health.read([&](const HealthTable &Rows) {
    return std::none_of(
        Rows.rows().begin(), Rows.rows().end(),
        [&](const auto &Row) { return Row.second.Owner == Tables.Self.Hash; });
  });
}

const std::atomic<std::uint32_t> &Daemon::inFlight() const {
  return this->Impl->Tables.InFlight;
}

} // namespace waycove
