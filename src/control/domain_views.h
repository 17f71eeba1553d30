// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"
#include "control/keyed_feed.h"
#include "policy/domain_plan.h"

namespace waycove {

/// The domains that \p Mine gives to this node, as the registry shows them:
/// each belongs to one of the parts into which the platform deals shared work.
std::map<DomainId, DomainView> ownedDomains(const EntryBoard &Board,
                                            const RoutingConfig &Config,
                                            const PartitionAssignment &Mine,
                                            TimePoint Now);

/// Groups that serve, by model, over all domains.
std::map<std::string, unsigned> servingGroups(const EntryBoard &Board);

} // namespace waycove
