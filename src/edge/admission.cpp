// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "edge/admission.h"

namespace waycove {

namespace {

/// Used to estimate a prompt's number of tokens.
constexpr std::uint64_t PromptBytesPerToken = 4;

} // namespace

absl::StatusOr<TicketId>
Admission::enter(const CallerRequest &Request, const RoutePlan &Plan,
                 std::shared_ptr<AdmissionGate> &SlotGate) {
  SlotGate = this->gateFor(Request, Plan);
  return SlotGate->enter(offerFor(Request, Plan));
}

void Admission::setLimits(const CallerRequest &Request, const RoutePlan &Plan,
                          AdmissionGate &SlotGate) const {
  if (Request.Target.Kind != ObjectKind::Deployment) {
    SlotGate.setLimits(this->Tables.Config.MaxStreams, 0);
    return;
  }
  std::size_t Serving = 0;
  for (const RouteTarget &Target : Plan.View->Targets)
    Serving += this->PlacementRules.serves(Target) ? 1 : 0;
  std::size_t Daemons = std::max<std::size_t>(
      this->Tables.controllers(SystemClock{}.now()).size(), 1);
  std::size_t Slots = Serving * Plan.View->SlotsPerReplica;
  SlotGate.setLimits(std::max<std::size_t>((Slots + Daemons - 1) / Daemons, 1),
                     Serving * Plan.View->KvTokensPerReplica / Daemons);
}

std::shared_ptr<AdmissionGate> Admission::gateFor(const CallerRequest &Request,
                                                  const RoutePlan &Plan) {
  std::shared_ptr<AdmissionGate> SlotGate = this->Gates.find(Request.Target);
  if (SlotGate->limitsUpdateDue(SystemClock{}.now()))
    this->setLimits(Request, Plan, *SlotGate);
  return SlotGate;
}

FairOffer Admission::offerFor(const CallerRequest &Request,
                              const RoutePlan &Plan) {
  std::uint64_t Cost = 1;
  if (Request.Target.Kind == ObjectKind::Deployment)
    Cost = Request.MaxTokens + Request.Prompt.size() / PromptBytesPerToken;
  return {Request.Workspace, Plan.Weight,
          Tokens(std::max<std::uint64_t>(Cost, 1)), Request.Deadline,
          Request.Priority};
}

} // namespace waycove
