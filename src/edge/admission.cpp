// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "edge/admission.h"

namespace waycove {

namespace {

/// Prompts count a quarter of their bytes as tokens.
constexpr std::uint64_t PromptBytesPerToken = 4;

} // namespace

absl::StatusOr<TicketId> Admission::enter(const CallerRequest &Request,
                                          const Plan &Way,
                                          std::shared_ptr<Gate> &Door) {
  Door = this->gateFor(Request, Way);
  return Door->enter(offerFor(Request, Way));
}

/// This daemon's share of what the serving targets can take.
void Admission::setLimits(const CallerRequest &Request, const Plan &Way,
                          Gate &Door) const {
  if (Request.Target.Kind != ObjectKind::Deployment) {
    Door.setLimits(this->Tables.Config.MaxStreams, 0);
    return;
  }
  std::size_t Serving = 0;
  for (const RouteTarget &Row : Way.View->Targets)
    Serving += this->Places.serves(Row) ? 1 : 0;
  std::size_t Daemons = std::max<std::size_t>(
      this->Tables.controllers(SystemClock{}.now()).size(), 1);
  std::size_t Slots = Serving * Way.View->SlotsPerReplica;
  Door.setLimits(std::max<std::size_t>((Slots + Daemons - 1) / Daemons, 1),
                 Serving * Way.View->KvTokensPerReplica / Daemons);
}

std::shared_ptr<Gate> Admission::gateFor(const CallerRequest &Request,
                                         const Plan &Way) {
  std::shared_ptr<Gate> Found = this->Rows.find(Request.Target);
  if (Found->slotsAreDue(SystemClock{}.now()))
    this->setLimits(Request, Way, *Found);
  return Found;
}

FairOffer Admission::offerFor(const CallerRequest &Request, const Plan &Way) {
  std::uint64_t Cost = 1;
  if (Request.Target.Kind == ObjectKind::Deployment)
    Cost = Request.MaxTokens + Request.Prompt.size() / PromptBytesPerToken;
  return {Request.Workspace, Way.Weight,
          Tokens(std::max<std::uint64_t>(Cost, 1)), Request.Deadline,
          Request.Priority};
}

} // namespace waycove
