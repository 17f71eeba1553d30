// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"
#include "control/keyed_feed.h"
#include "policy/domain_plan.h"

namespace waycove {

/// Views of the domains that \p Assignment gives to this node, one for each
/// service that has VMs there, built from the registry. Each domain belongs to
/// one partition by the hash of its name.
std::map<ServiceDomain, DomainView>
ownedDomains(const EntryBoard &Board, const RoutingConfig &Config,
             const PartitionAssignment &Assignment, TimePoint Now);

/// Number of serving groups by service and model, over all domains.
std::map<ServiceId, std::map<std::string, unsigned>>
servingGroups(const EntryBoard &Board);

} // namespace waycove
