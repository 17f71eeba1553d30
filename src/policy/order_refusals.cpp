// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/order_refusals.h"

namespace waycove {

bool OrderRefusals::isFenced(const VmIncarnation &Target,
                             std::uint64_t Fence) const {
  auto At = this->Refusals.find(Target);
  return At != this->Refusals.end() && At->second.IsFenced &&
         At->second.Fence >= Fence;
}

OrderRefusals::Cause OrderRefusals::record(const GroupOrder &Order,
                                           std::uint64_t Fence,
                                           const ReportedGroup &Reported) {
  Refusal &Known = this->Refusals[Order.To->incarnation()];
  if (Known.Fence < Fence)
    Known = {Fence, 0, false};
  Cause Found = causeOf(Order, Fence, Reported);
  bool IsExplained = Found == Cause::NewerFence || Found == Cause::InNewerGroup;
  if (!IsExplained && ++Known.Unexplained >= MaxUnexplained)
    Found = Cause::NewerFence;
  Known.IsFenced = Found == Cause::NewerFence;
  return Found;
}

OrderRefusals::Cause OrderRefusals::causeOf(const GroupOrder &Order,
                                            std::uint64_t Fence,
                                            const ReportedGroup &Reported) {
  // Only a join is refused for its epoch.
  if (Order.Kind != OrderKind::Join)
    return Cause::NewerFence;
  if (!Reported.ok())
    return Cause::Unknown;
  if (!*Reported)
    return Cause::NewerEpoch;
  std::uint64_t Epoch = (*Reported)->Epoch;
  if (Epoch >> EpochCounterBits > Fence)
    return Cause::NewerFence;
  return Epoch >= Order.Group.Epoch ? Cause::InNewerGroup : Cause::Unknown;
}

} // namespace waycove
