// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/feed_cache.h"
#include "policy/crash_blame.h"
#include "policy/group_load.h"
#include "policy/load_reports.h"
#include "policy/partition_membership.h"
#include "policy/pool_report.h"
#include "policy/stated_limits.h"
#include "wire/wire_generated.h"

#include <absl/status/statusor.h>
#include <deque>

namespace waycove {

/// A node's entry in the directory.
struct Announcement {
  NodeInfo Node;
  /// Contents blamed for crashes of targets, stored so that they survive a
  /// restart of all nodes.
  CrashEvidenceMap Blamed;
};

wire::PeerRowT packNode(const NodeInfo &Node);
NodeInfo unpackNode(const wire::PeerRowT &Row);

std::string packAnnouncement(const Announcement &Entry);
/// Errors: BadRequest if the bytes are not a valid announcement.
absl::StatusOr<Announcement> unpackAnnouncement(const std::string &Bytes);

std::vector<wire::LoadRow> packLoads(const TargetLoads &Loads);
TargetLoads unpackLoads(const std::vector<wire::LoadRow> &Rows);

std::vector<std::unique_ptr<wire::DemandRowT>>
packDemand(const DemandTable &Demand);
DemandTable
unpackDemand(const std::vector<std::unique_ptr<wire::DemandRowT>> &Rows);

/// Converts the requests for pools to their rows on the wire.
std::vector<std::unique_ptr<wire::PoolRowT>>
packPools(const PoolReports &Pools);
/// Errors: BadRequest if a number is negative, not finite or absurdly large;
/// the other rows are in \p Out all the same.
absl::Status
unpackPools(const std::vector<std::unique_ptr<wire::PoolRowT>> &Rows,
            PoolReports &Out);

/// Requests and parts of prompts are sent apart: nodes that know only requests
/// then ignore the parts.
using CrashRows = std::vector<std::unique_ptr<wire::CrashRowT>>;
CrashRows packCrashes(const CrashEvidenceMap &Crashes, SuspectKind Kind);
CrashEvidenceMap unpackCrashes(const CrashRows &Requests,
                               const CrashRows &Parts);

std::vector<wire::LimitRow> packLimits(const LimitReports &Limits,
                                       TimePoint Now);
/// Unpacks limits whose ages are relative to \p From. Errors: BadRequest if a
/// rate is negative or no number; the other rows are in \p Out all the same.
absl::Status unpackLimits(const std::vector<wire::LimitRow> &Rows,
                          TimePoint From, LimitReports &Out);

std::vector<wire::RenewalRow> packRenewals(const MembershipRenewals &Renewals,
                                           TimePoint Now);
/// Merges \p Rows, whose ages are relative to \p From, into \p Out.
void mergeRenewals(const std::vector<wire::RenewalRow> &Rows, TimePoint From,
                   MembershipRenewals &Out);

wire::FeedMark packMarks(const EraMarks &Marks);
EraMarks unpackMarks(const wire::FeedMark &Row);

/// Maximum size of the records of a feed in a response, deflated. Changes are
/// sent in parts. A larger single record is omitted and read from the store by
/// the receiver, so that it does not delay the other feeds on a slow link.
inline constexpr std::size_t MaxUpdateBytes = 32 << 10;
/// Maximum size of the records of a part before compression, which reduces them
/// to about a sixth.
inline constexpr std::size_t MaxPartBytes = 160 << 10;
/// As MaxUpdateBytes, for a snapshot of a feed. Larger, because nodes that
/// start together would otherwise all read the snapshot from the store.
inline constexpr std::size_t MaxSnapshotBytes = 512 << 10;

/// Serialises and deflates records.
std::vector<std::uint8_t> deflateRecords(const std::vector<KeyedRecord> &Rows);
/// Inverse of deflateRecords(), except that positions have no era. Errors:
/// BadRequest if the bytes are damaged.
absl::StatusOr<std::vector<KeyedRecord>>
inflateRecords(const std::vector<std::uint8_t> &Bytes);

/// Packs feed updates for other nodes. Caches deflated records, because
/// downstream nodes request the same updates one after another. Not
/// thread-safe.
class FeedPacker {
public:
  /// Packs \p Page, which starts at \p From, with times converted to ages at
  /// \p Now. Omits the records if they exceed \p MaxBytes when deflated. Small
  /// pages are not deflated.
  std::unique_ptr<wire::FeedNewsT> pack(const KeyedPage &Page,
                                        StorePosition From, TimePoint Now,
                                        std::size_t MaxBytes = MaxUpdateBytes);

private:
  /// Downstream nodes may be a few parts apart.
  static constexpr std::size_t MaxCached = 4;
  struct CachedRecords {
    StorePosition From;
    StorePosition Next;
    bool IsSnapshot = false;
    std::vector<std::uint8_t> Bytes;
  };
  const std::vector<std::uint8_t> &deflated(const KeyedPage &Page,
                                            StorePosition From);
  std::deque<CachedRecords> Cache;
};
/// Unpacks a feed update. Ages are subtracted from \p SentAt, the time when the
/// request was sent, and RetainUntil is relative to \p Now. Errors: BadRequest
/// if the records are damaged.
absl::StatusOr<KeyedPage> unpackFeed(const wire::FeedNewsT &News,
                                     TimePoint SentAt, TimePoint Now);

} // namespace waycove
