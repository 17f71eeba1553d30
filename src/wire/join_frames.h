// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/join_table.h"
#include "wire/wire_generated.h"

namespace waycove {

/// Packs a request to join with a node's packed announcement and the upstream
/// nodes that it could not reach.
wire::JoinT packJoin(const std::string &Announcement,
                     const std::set<NodeId> &Failed);
wire::JoinAnswerT packJoinAnswer(const JoinAnswer &Answer);
JoinAnswer unpackJoinAnswer(const wire::JoinAnswerT &Message);

} // namespace waycove
