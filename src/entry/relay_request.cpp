// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/relay_request.h"

#include <algorithm>

namespace waycove {

namespace {

/// Capacity is back within about this time of most failures: a group forms
/// anew on staged VMs in 1.6 s, after about as long to notice.
constexpr Millis UsualRepair(1500);
/// Callers wait no longer than this part of the time that they have.
constexpr int CallerPatience = 3;
constexpr Millis DefaultDeadline(10000);

} // namespace

ContentHash contentOf(const RelayRequest &Request) {
  const std::string &Uri = Request.Head.getURI();
  const std::string &Caller =
      Request.Workspace.empty() ? Request.Info.ApiKey : Request.Workspace.Text;
  std::uint64_t Path = hashText(Uri.substr(0, Uri.find('?')));
  return ContentHash(hashText(Request.Body, hashText(Caller, Path)));
}

absl::Status admitRequest(const EntryBoard &Board, RelayRequest &Request,
                          TimePoint Now) {
  RoutingConfigRef Config =
      Board.Routing.read([](const RoutingConfigRef &Row) { return Row; });
  if (!Config)
    return makeError(ErrorKind::NotReady, "no configuration yet", UsualRepair);
  const std::string &Uri = Request.Head.getURI();
  std::string_view Path(Uri.data(), std::min(Uri.find('?'), Uri.size()));
  const HttpRoute *Route = Config->find(Request.Head.get("Host", ""), Path);
  if (!Route || Route->Backends.empty())
    return makeError(ErrorKind::NotFound, "no route for this host and path");
  WorkspaceId Workspace;
  if (!Route->Public && Config->HasWorkspaces) {
    if (Board.Config.Entry->RevokeFailClosed && !Board.ConfigLease.holds(Now))
      return makeError(ErrorKind::NotReady,
                       "the store does not confirm that keys are current",
                       UsualRepair);
    auto Owner = Config->Keys.find(Request.Info.ApiKey);
    if (Owner == Config->Keys.end())
      return makeError(ErrorKind::Unauthenticated, "no workspace has this key");
    Workspace = Owner->second.Workspace;
    Request.Owner = &Owner->second;
  }
  Millis Wait = Request.Info.Timeout.value_or(DefaultDeadline);
  if (Route->Timeout.count() > 0)
    Wait = std::min(Wait, Route->Timeout);
  Request.Deadline = Request.ArrivedAt + Wait;
  Request.Config = std::move(Config);
  Request.Route = Route;
  Request.Workspace = std::move(Workspace);
  Request.Service = pickBackend(*Route, Request.Random);
  Request.Content = contentOf(Request);
  return absl::OkStatus();
}

Millis comeBackAfter(const RelayRequest &Request) {
  Millis Most =
      std::chrono::duration_cast<Millis>(Request.Deadline - Request.ArrivedAt) /
      CallerPatience;
  return std::min(UsualRepair, Most);
}

} // namespace waycove
