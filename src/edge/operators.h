// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/submitter.h"
#include "edge/callers.h"

#include <Poco/URI.h>

namespace waycove {

/// Timeout for a change to be appended and folded.
constexpr Millis ApplyTimeout(10000);

/// The operators' HTTP API below /operator/v1/:
///   GET  objects?kind=K&name=N   published objects with their revisions
///   POST apply                   {"kind", "name", "base", "body", "removed"}
///   GET  status                  groups, VMs, daemons, counts
///   GET  events?after=CLOCK      logged events
template <LogService Service> class Operators {
public:
  Operators(Board &Tables, Submitter<Service> &Submit)
      : Tables(Tables), Submit(Submit) {}

  void handle(Poco::Net::HTTPServerRequest &Request, HttpSink &Sink) {
    if (digestKey(bearerToken(Request)) !=
        this->Tables.Config.OperatorKeyDigest) {
      sendError(Sink, makeError(ErrorKind::Unauthenticated,
                                "the operator key is wrong"));
      return;
    }
    Poco::URI Uri(Request.getURI());
    const std::string &Path = Uri.getPath();
    if (Path == "/operator/v1/objects")
      sendWhole(Sink, 200, "application/json", this->objects(Uri));
    else if (Path == "/operator/v1/apply")
      this->apply(Request, Sink);
    else if (Path == "/operator/v1/status")
      sendWhole(Sink, 200, "application/json", this->status());
    else if (Path == "/operator/v1/events")
      sendWhole(Sink, 200, "application/json", this->events(Uri));
    else
      sendError(Sink, makeError(ErrorKind::NotFound, "no such path"));
  }

private:
  static std::string queryOf(const Poco::URI &Uri, const std::string &Name) {
    for (const auto &[Key, Value] : Uri.getQueryParameters())
      if (Key == Name)
        return Value;
    return "";
  }

  std::string objects(const Poco::URI &Uri) {
    std::string Kind = queryOf(Uri, "kind");
    std::string Name = queryOf(Uri, "name");
    Poco::JSON::Object Body;
    Poco::JSON::Array Rows;
    this->Tables.State.read([&](const FoldState &State) {
      Body.set("next", State.next().Value);
      for (const auto &[Key, Row] : State.objects()) {
        if ((!Kind.empty() && kindName(Key.Kind) != Kind) ||
            (!Name.empty() && Key.Name != Name))
          continue;
        Poco::JSON::Object Out;
        Out.set("kind", kindName(Key.Kind));
        Out.set("name", Key.Name);
        Out.set("revision", Row->Revision);
        Out.set("body", Row->Body);
        Rows.add(Out);
      }
    });
    Body.set("ready", this->Tables.Ready.load());
    Body.set("objects", Rows);
    return dumpJson(Body);
  }

  void apply(Poco::Net::HTTPServerRequest &Request, HttpSink &Sink) {
    absl::StatusOr<std::string> Text =
        readBody(Request, this->Tables.Config.MaxBodyBytes);
    absl::StatusOr<JsonObject> Body =
        Text.ok() ? parseJson(*Text)
                  : absl::StatusOr<JsonObject>(Text.status());
    if (!Body.ok()) {
      sendError(Sink, Body.status());
      return;
    }
    wire::ConfigChangeT Change;
    Change.kind = textAt(*Body, "kind");
    Change.name = textAt(*Body, "name");
    Change.base = numberAt(*Body, "base");
    Change.body = textAt(*Body, "body");
    Change.removed = flagAt(*Body, "removed", false);
    // Validate before appending to the log.
    if (!Change.removed) {
      ValidationErrors Found;
      parseObjects("object", Change.body, Found);
      if (!Found.empty()) {
        sendError(Sink, makeError(ErrorKind::InvalidObject, Found.text()));
        return;
      }
    }
    absl::StatusOr<FoldOutcome> Outcome = this->Submit.submit(
        std::move(Change), SystemClock{}.now() + ApplyTimeout);
    if (!Outcome.ok()) {
      sendError(Sink, Outcome.status());
      return;
    }
    if (!Outcome->Accepted) {
      sendError(Sink, makeError(ErrorKind::Conflict, Outcome->Reason));
      return;
    }
    Poco::JSON::Object Response;
    Response.set("accepted", true);
    Response.set("reason", Outcome->Reason);
    sendWhole(Sink, 200, "application/json", dumpJson(Response));
  }

  std::string status() {
    TimePoint Now = SystemClock{}.now();
    Poco::JSON::Object Body;
    Body.set("node", this->Tables.Self.Node.Text);
    Body.set("incarnation", this->Tables.Self.Incarnation.Text);
    Body.set("data_centre", this->Tables.Self.DataCentre.Text);
    Body.set("ready", this->Tables.Ready.load());
    Body.set("stopping", this->Tables.Stopping.load());
    Body.set("log_up", this->Tables.LogUp.load());
    Body.set("in_flight", this->Tables.InFlight.load());
    Body.set("groups", this->groups(Now));
    Body.set("peers", this->peers(Now));
    Body.set("vms", this->vms());
    Body.set("next", this->Tables.State.read([](const FoldState &State) {
      return State.next().Value;
    }));
    return dumpJson(Body);
  }

  Poco::JSON::Array groups(TimePoint Now) {
    Poco::JSON::Array Rows;
    this->Tables.State.read([&](const FoldState &State) {
      for (const auto &[Id, Formed] : State.groups()) {
        Poco::JSON::Object Out;
        Poco::JSON::Array Vms;
        for (const VmId &Vm : Formed.Vms)
          Vms.add(Vm.Text);
        Out.set("fence", Id.Value);
        Out.set("deployment", Formed.Place.Deployment.Text);
        Out.set("data_centre", Formed.Place.DataCentre.Text);
        Out.set("slot", Formed.Place.Index.Value);
        Out.set("domain", Formed.Domain.Text);
        Out.set("vms", Vms);
        bool Here = Formed.Place.DataCentre == this->Tables.Self.DataCentre;
        // Whether a group serves is known only in its own data centre.
        if (Here)
          Out.set("serves", this->isRouted(Formed) &&
                                this->Tables.isGroupServing(Id, Now));
        Rows.add(Out);
      }
    });
    return Rows;
  }

  /// Whether the group is in its deployment's route view.
  bool isRouted(const Group &Formed) const {
    ViewRef View = this->Tables.Views.read([&](const ViewTable &Views) {
      return Views.find({ObjectKind::Deployment, Formed.Place.Deployment.Text});
    });
    return View && std::any_of(View->Targets.begin(), View->Targets.end(),
                               [&](const RouteTarget &Row) {
                                 return Row.Group == Formed.Id;
                               });
  }

  Poco::JSON::Array peers(TimePoint Now) {
    Poco::JSON::Array Rows;
    this->Tables.Peers.read([&](const PeerTable &Peers) {
      for (const auto &[Node, Row] : Peers.rows()) {
        if (!Row.Known)
          continue;
        Poco::JSON::Object Out;
        Out.set("node", Row.Row.node);
        Out.set("incarnation", Row.Row.incarnation);
        Out.set("data_centre", Row.Row.data_centre);
        Out.set("http", Row.Row.host + ":" + std::to_string(Row.Row.http_port));
        Out.set("live", Peers.isLive(Node, Now));
        Out.set("serving", Row.has(Serving));
        Out.set("folded", Row.Folded);
        Rows.add(Out);
      }
    });
    return Rows;
  }

  Poco::JSON::Array vms() {
    Poco::JSON::Array Rows;
    WallMs Now = SystemClock{}.wall();
    this->Tables.State.read([&](const FoldState &State) {
      DrainSet Drains(State);
      this->Tables.Vms.read([&](const VmTable &Vms) {
        for (const auto &[Vm, Row] : Vms.rows()) {
          Poco::JSON::Object Out;
          Out.set("vm", Vm.Text);
          Out.set("domain", Row.Domain.Text);
          Out.set("leaving", Vms.isLeaving(Vm, Now));
          Out.set("drained", Drains.covers(Vm, effectiveLabels(Row, State)));
          Out.set("group", State.assignment(Vm).Group.Value);
          Rows.add(Out);
        }
      });
    });
    return Rows;
  }

  std::string events(const Poco::URI &Uri) {
    std::string After = queryOf(Uri, "after");
    bool Digits = !After.empty() && After.size() < 20 &&
                  After.find_first_not_of("0123456789") == std::string::npos;
    std::string Body = "[";
    for (const LoggedEvent &Row :
         this->Tables.Log.since(Digits ? std::stoull(After) : 0))
      Body += (Body.size() > 1 ? ",\n" : "") + eventJson(Row);
    return "{\"events\":" + Body + "]}";
  }

  Board &Tables;
  Submitter<Service> &Submit;
};

} // namespace waycove
