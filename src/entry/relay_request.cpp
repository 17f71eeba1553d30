// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/relay_request.h"

#include <algorithm>

namespace waycove {

namespace {

/// Time in which capacity is usually restored after a failure: a group forms
/// anew on staged VMs in 1.6 s, after about as long to notice.
constexpr Millis TypicalRepairTime(1500);
constexpr Millis DefaultTimeout(10000);

const HttpRoute *findRoute(const RoutingConfig &Config,
                           const Poco::Net::HTTPRequest &Head) {
  const std::string &Uri = Head.getURI();
  std::string_view Path(Uri.data(), std::min(Uri.find('?'), Uri.size()));
  return Config.find(Head.get("Host", ""), Path);
}

/// The route may be null.
Millis timeoutOf(const HttpRoute *Route, const CallerRequestInfo &Info) {
  Millis Timeout = Info.Timeout.value_or(DefaultTimeout);
  return Route && Route->Timeout.count() > 0 ? std::min(Timeout, Route->Timeout)
                                             : Timeout;
}

} // namespace

TimePoint bodyDeadline(const EntryBoard &Board, const RelayRequest &Request) {
  RoutingConfigRef Config =
      Board.Routing.read([](const RoutingConfigRef &Config) { return Config; });
  const HttpRoute *Route = Config ? findRoute(*Config, Request.Head) : nullptr;
  return Request.ArrivedAt + timeoutOf(Route, Request.Info);
}

PoolKey poolOf(const RelayRequest &Request) {
  const ServiceSpec *Spec = Request.Config->service(Request.Service);
  return {Request.Service, Spec && Spec->hasGroups() ? Request.Info.Model : ""};
}

ContentHash contentHashOf(const RelayRequest &Request) {
  const std::string &Uri = Request.Head.getURI();
  const std::string &Caller =
      Request.Workspace.empty() ? Request.Info.ApiKey : Request.Workspace.Text;
  std::uint64_t Path = hashText(Uri.substr(0, Uri.find('?')));
  return ContentHash(hashText(Request.Body.Bytes, hashText(Caller, Path)));
}

absl::Status admitRequest(const EntryBoard &Board, RelayRequest &Request,
                          TimePoint Now) {
  RoutingConfigRef Config =
      Board.Routing.read([](const RoutingConfigRef &Config) { return Config; });
  if (!Config)
    return makeError(ErrorKind::NotReady, "no configuration yet",
                     TypicalRepairTime);
  const HttpRoute *Route = findRoute(*Config, Request.Head);
  if (!Route || Route->Backends.empty())
    return makeError(ErrorKind::NotFound, "no route for this host and path");
  WorkspaceId Workspace;
  if (!Route->Public && Config->HasWorkspaces) {
    if (Board.Config.Entry->RevokeFailClosed && !Board.ConfigLease.holds(Now))
      return makeError(ErrorKind::NotReady,
                       "the store does not confirm that keys are current",
                       TypicalRepairTime);
    auto Owner = Config->Keys.find(Request.Info.ApiKey);
    if (Owner == Config->Keys.end())
      return makeError(ErrorKind::Unauthenticated, "no workspace has this key");
    Workspace = Owner->second.Workspace;
    Request.Owner = &Owner->second;
  }
  Request.Deadline = Request.ArrivedAt + timeoutOf(Route, Request.Info);
  Request.Config = std::move(Config);
  Request.Route = Route;
  Request.Workspace = std::move(Workspace);
  Request.Service = pickBackend(*Route, Request.Random);
  Request.Content = contentHashOf(Request);
  Request.Suspects =
      suspectsOf(Request.Content, poolOf(Request), Request.Info.SharedParts);
  return absl::OkStatus();
}

void recordDemand(EntryBoard &Board, const CallerRequestInfo &Info) {
  if (Info.Model.empty())
    return;
  Board.Demand.write([&](DemandTable &Table) {
    ModelDemand &Demand = Table[Info.Model];
    ++Demand.Requests;
    Demand.PromptTokens += static_cast<double>(Info.PromptTokens);
    Demand.OutputTokens += static_cast<double>(Info.MaxOutputTokens);
  });
}

Millis suggestRetryAfter(const RelayRequest &Request) {
  return std::min(TypicalRepairTime,
                  maxRetryAfter(Request.Deadline, Request.ArrivedAt));
}

} // namespace waycove
