// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/feed_cache.h"
#include "policy/crash_blame.h"
#include "policy/group_load.h"
#include "policy/load_reports.h"
#include "policy/partition_membership.h"
#include "wire/wire_generated.h"

#include <absl/status/statusor.h>
#include <deque>

namespace waycove {

/// What lies in the directory under a node's name.
struct Announcement {
  NodeInfo Node;
  /// Contents that are blamed for the end of targets, so that this outlives a
  /// restart of all nodes.
  CrashEvidenceMap Blamed;
};

std::string packAnnouncement(const Announcement &Given);
/// Errors: BadRequest where the bytes are no announcement.
absl::StatusOr<Announcement> unpackAnnouncement(const std::string &Bytes);

std::vector<wire::LoadRow> packLoads(const TargetLoads &Loads);
TargetLoads unpackLoads(const std::vector<wire::LoadRow> &Rows);

std::vector<std::unique_ptr<wire::DemandRowT>>
packDemand(const DemandTable &Demand);
DemandTable
unpackDemand(const std::vector<std::unique_ptr<wire::DemandRowT>> &Rows);

std::vector<std::unique_ptr<wire::CrashRowT>>
packCrashes(const CrashEvidenceMap &Crashes);
CrashEvidenceMap
unpackCrashes(const std::vector<std::unique_ptr<wire::CrashRowT>> &Rows);

std::vector<wire::RenewalRow> packRenewals(const MembershipRenewals &Renewals,
                                           TimePoint Now);
/// Ages count from \p From.
void mergeRenewals(const std::vector<wire::RenewalRow> &Rows, TimePoint From,
                   MembershipRenewals &Into);

wire::FeedMark packMarks(const EraMarks &Marks);
EraMarks unpackMarks(const wire::FeedMark &Row);

/// A node passes at most this much of a feed on in an answer. What changed
/// comes in parts; a single record that is larger is left out, and whoever asks
/// reads it from the store: a configuration of 1,130 routes took 2.0 s to
/// twelve neighbours over a link of 20 Mbit/s, and held up what the registry
/// told of leaving targets behind it; this much takes 0.16 s.
inline constexpr std::size_t MaxUpdateBytes = 32 << 10;
/// Of records before they are deflated, in a part: they shrink to a sixth, so
/// that such a part is about as large.
inline constexpr std::size_t MaxPartBytes = 160 << 10;
/// The same for all of a feed, as a node gets it that knows nothing yet or is
/// behind what its reader remembers: the entries of 3,000 targets are some 0.2
/// MB. Left out, they went from the store to each of 301 nodes, 2.4 MB each
/// where it gives 80 MB/s in all, and configurations came 10 s late behind
/// them.
inline constexpr std::size_t MaxSnapshotBytes = 512 << 10;

/// Records as one block of bytes, deflated; they repeat their field names and
/// addresses and shrink to about a sixth.
std::vector<std::uint8_t> deflateRecords(const std::vector<KeyedRecord> &Rows);
/// The same back, with offsets but no era. Errors: BadRequest where the bytes
/// are damaged.
absl::StatusOr<std::vector<KeyedRecord>>
inflateRecords(const std::vector<std::uint8_t> &Bytes);

/// Makes what a node tells of a feed. What it deflated lately is kept, since
/// those that read through it ask for the same one after the other. Not
/// thread-safe.
class FeedPacker {
public:
  /// \p Page, which goes on from \p From, its times turned into ages at
  /// \p Now; without its records where they are more than \p Most even when
  /// deflated. Few are sent as they are: that is not worth the processor's
  /// time.
  std::unique_ptr<wire::FeedNewsT> pack(const KeyedPage &Page,
                                        StorePosition From, TimePoint Now,
                                        std::size_t Most = MaxUpdateBytes);

private:
  /// Nodes that ask this one are a few parts apart, where much has changed.
  static constexpr std::size_t MostKept = 4;
  struct Packed {
    StorePosition From;
    StorePosition Next;
    bool IsSnapshot = false;
    std::vector<std::uint8_t> Bytes;
  };
  const std::vector<std::uint8_t> &deflated(const KeyedPage &Page,
                                            StorePosition From);
  std::deque<Packed> Kept;
};
/// The same back; ages count from \p SentAt, when the question left, and what
/// is still to come from \p Now.
/// Errors: BadRequest where its records are damaged.
absl::StatusOr<KeyedPage> unpackFeed(const wire::FeedNewsT &News,
                                     TimePoint SentAt, TimePoint Now);

} // namespace waycove
