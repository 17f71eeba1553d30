// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/feed_cache.h"
#include "policy/load_news.h"
#include "policy/share_members.h"
#include "wire/wire_generated.h"

#include <absl/status/statusor.h>

namespace waycove {

/// A node's announcement, as it lies in the directory.
std::string packNode(const NodeInfo &Node);
/// Errors: BadRequest where the bytes are no announcement.
absl::StatusOr<NodeInfo> unpackNode(const std::string &Bytes);

std::vector<wire::LoadRow> packLoads(const LoadRows &Loads);
LoadRows readLoads(const std::vector<wire::LoadRow> &Rows);

std::vector<wire::RenewalRow> packRenewals(const ShareRenewals &Renewals,
                                           TimePoint Now);
/// Ages count from \p From.
void takeRenewals(const std::vector<wire::RenewalRow> &Rows, TimePoint From,
                  ShareRenewals &Into);

/// A node passes at most this much of a feed on in an answer. More is left out,
/// and whoever asks reads it from the store: a configuration of 1,130 routes
/// took 2.0 s to twelve neighbours over a link of 20 Mbit/s, and held up what
/// the registry told of leaving targets behind it; this much takes 0.16 s.
inline constexpr std::size_t MostPassedBytes = 32 << 10;

/// Part of a feed, its times turned into ages at \p Now; without its records
/// where they are more than MostPassedBytes.
std::unique_ptr<wire::FeedNewsT> packFeed(const KeyedPage &Page, TimePoint Now);
/// The same back; ages count from \p SentAt, when the question left, and what
/// is still to come from \p Now.
KeyedPage readFeed(const wire::FeedNewsT &News, TimePoint SentAt,
                   TimePoint Now);

} // namespace waycove
