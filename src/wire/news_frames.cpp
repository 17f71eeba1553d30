// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "wire/news_frames.h"

#include "base/errors.h"

#include <Poco/DeflatingStream.h>
#include <Poco/InflatingStream.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <sstream>

namespace waycove {

namespace {

/// Smaller updates are not deflated.
constexpr std::size_t MinDeflateBytes = 4 << 10;
/// The fastest zlib level.
constexpr int DeflateLevel = 1;
/// Limits the memory that damaged bytes can inflate to.
constexpr std::size_t MaxInflatedBytes = 32 << 20;
constexpr std::size_t InflateBlock = 16 << 10;

/// Upper bound on the response time that is assumed for a response. A longer
/// time means that this machine was suspended meanwhile.
constexpr Millis MaxResponseTime{500};

void unpackCrashes(const CrashRows &Rows, SuspectKind Kind,
                   CrashEvidenceMap &Into) {
  for (const auto &Row : Rows) {
    CrashEvidence &Known = Into[{Kind, ContentHash(Row->content)}];
    Known.TimesServed = Row->served;
    Known.TrialDone = Row->tried;
    Known.ServedBefore = Row->served_before;
    Known.Recurred = Row->recurred;
    for (std::uint64_t End : Row->ends)
      Known.CrashedTargets.insert(TargetHash(End));
  }
}

std::uint16_t shortOf(std::int64_t Value) {
  return static_cast<std::uint16_t>(std::clamp<std::int64_t>(
      Value, 0, std::numeric_limits<std::uint16_t>::max()));
}

std::uint32_t ageOf(TimePoint At, TimePoint Now) {
  if (At == TimePoint())
    return std::numeric_limits<std::uint32_t>::max();
  // Rounded up, since an age must not be understated.
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, std::chrono::ceil<Millis>(Now - At).count()));
}

std::unique_ptr<wire::FeedRowT> packRecord(const KeyedRecord &Record) {
  auto Row = std::make_unique<wire::FeedRowT>();
  Row->key = Record.Key;
  Row->dropped = !Record.Value;
  Row->below = Record.EndPosition.At.Value;
  if (Record.Value)
    Row->value.assign(Record.Value->begin(), Record.Value->end());
  return Row;
}

KeyedRecord readRecord(const wire::FeedRowT &Row) {
  KeyedRecord Record{Row.key, std::nullopt, {StoreEra(), Offset(Row.below)}};
  if (!Row.dropped)
    Record.Value = std::string(Row.value.begin(), Row.value.end());
  return Record;
}

} // namespace

wire::PeerRowT packNode(const NodeInfo &Node) {
  wire::PeerRowT Row;
  Row.node = Node.Node.Text;
  Row.incarnation = Node.Incarnation.Text;
  Row.data_centre = Node.DataCentre.Text;
  Row.host = Node.Host;
  Row.peer_port = Node.Port;
  Row.link_mbps = Node.LinkMbps;
  Row.settled_era = Node.Settled.Value;
  return Row;
}

NodeInfo unpackNode(const wire::PeerRowT &Row) {
  return {NodeId(Row.node),
          IncarnationId(Row.incarnation),
          DataCentreId(Row.data_centre),
          Row.host,
          Row.peer_port,
          Row.link_mbps,
          StoreEra(Row.settled_era)};
}

std::string packAnnouncement(const Announcement &Entry) {
  wire::PeerRowT Row = packNode(Entry.Node);
  Row.blamed = packCrashes(Entry.Blamed, SuspectKind::Request);
  Row.blamed_parts = packCrashes(Entry.Blamed, SuspectKind::PromptPart);
  flatbuffers::FlatBufferBuilder Builder;
  Builder.Finish(wire::PeerRow::Pack(Builder, &Row));
  return {reinterpret_cast<const char *>(Builder.GetBufferPointer()),
          Builder.GetSize()};
}

absl::StatusOr<Announcement> unpackAnnouncement(const std::string &Bytes) {
  const auto *Data = reinterpret_cast<const std::uint8_t *>(Bytes.data());
  wire::AlignedVerifier Verifier(Data, Bytes.size());
  if (Bytes.size() < 8 || !Verifier.VerifyBuffer<wire::PeerRow>(nullptr))
    return makeError(ErrorKind::BadRequest, "damaged announcement");
  wire::PeerRowT Row;
  flatbuffers::GetRoot<wire::PeerRow>(Data)->UnPackTo(&Row);
  return Announcement{unpackNode(Row),
                      unpackCrashes(Row.blamed, Row.blamed_parts)};
}

std::vector<wire::LoadRow> packLoads(const TargetLoads &Loads) {
  std::vector<wire::LoadRow> Rows;
  Rows.reserve(Loads.size());
  for (const auto &[Target, Load] : Loads)
    Rows.emplace_back(
        Target.Value, static_cast<std::uint32_t>(Load.PromptWaiting),
        shortOf(Load.InFlight), shortOf(Load.Responding),
        shortOf(Load.SilentFor.count()), shortOf(Load.LongestWait.count()),
        shortOf(static_cast<std::int64_t>(Load.FirstByteMs)),
        shortOf(Load.SuspectDuration.count()));
  return Rows;
}

TargetLoads unpackLoads(const std::vector<wire::LoadRow> &Rows) {
  TargetLoads Loads;
  for (const wire::LoadRow &Row : Rows)
    Loads[TargetHash(Row.target())] = {
        Row.in_flight(),
        Row.answering(),
        static_cast<double>(Row.prompt_waiting()),
        Millis(Row.silent_ms()),
        Millis(Row.waiting_ms()),
        static_cast<double>(Row.first_byte_ms()),
        Millis(Row.suspect_ms())};
  return Loads;
}

std::vector<std::unique_ptr<wire::DemandRowT>>
packDemand(const DemandTable &Demand) {
  std::vector<std::unique_ptr<wire::DemandRowT>> Rows;
  for (const auto &[Model, ModelDemand] : Demand) {
    Rows.push_back(std::make_unique<wire::DemandRowT>());
    Rows.back()->model = Model;
    Rows.back()->requests = static_cast<float>(ModelDemand.Requests);
    Rows.back()->prompt_tokens = static_cast<float>(ModelDemand.PromptTokens);
    Rows.back()->answer_tokens = static_cast<float>(ModelDemand.OutputTokens);
  }
  return Rows;
}

DemandTable
unpackDemand(const std::vector<std::unique_ptr<wire::DemandRowT>> &Rows) {
  DemandTable Demand;
  for (const auto &Row : Rows)
    Demand[Row->model] = {Row->requests, Row->prompt_tokens,
                          Row->answer_tokens};
  return Demand;
}

std::vector<std::unique_ptr<wire::PoolRowT>>
packPools(const PoolReports &Pools) {
  std::vector<std::unique_ptr<wire::PoolRowT>> Rows;
  for (const auto &[Pool, Report] : Pools) {
    Rows.push_back(std::make_unique<wire::PoolRowT>());
    Rows.back()->service = Pool.Service.Text;
    Rows.back()->model = Pool.Model;
    Rows.back()->arrivals = static_cast<float>(Report.Arrivals);
    Rows.back()->in_flight = static_cast<float>(Report.InFlight);
    Rows.back()->waiting = static_cast<float>(Report.Waiting);
    Rows.back()->nodes = Report.Nodes;
  }
  return Rows;
}

absl::Status
unpackPools(const std::vector<std::unique_ptr<wire::PoolRowT>> &Rows,
            PoolReports &Out) {
  absl::Status Read = absl::OkStatus();
  for (const auto &Row : Rows) {
    PoolReport Report{Row->arrivals, Row->in_flight, Row->waiting, Row->nodes};
    if (Report.isValid())
      Out[{ServiceId(Row->service), Row->model}] = Report;
    else
      Read = makeError(ErrorKind::BadRequest,
                       "requests for " + Row->service +
                           ": expected finite numbers that are not negative");
  }
  return Read;
}

CrashRows packCrashes(const CrashEvidenceMap &Crashes, SuspectKind Kind) {
  CrashRows Rows;
  for (const auto &[Suspect, Known] : Crashes) {
    if (Suspect.Kind != Kind)
      continue;
    Rows.push_back(std::make_unique<wire::CrashRowT>());
    Rows.back()->content = Suspect.Content.Value;
    Rows.back()->served = Known.TimesServed;
    Rows.back()->tried = Known.TrialDone;
    Rows.back()->served_before = Known.ServedBefore;
    Rows.back()->recurred = Known.Recurred;
    for (TargetHash End : Known.CrashedTargets)
      Rows.back()->ends.push_back(End.Value);
  }
  return Rows;
}

CrashEvidenceMap unpackCrashes(const CrashRows &Requests,
                               const CrashRows &Parts) {
  CrashEvidenceMap Crashes;
  unpackCrashes(Requests, SuspectKind::Request, Crashes);
  unpackCrashes(Parts, SuspectKind::PromptPart, Crashes);
  return Crashes;
}

std::vector<wire::LimitRow> packLimits(const LimitReports &Limits,
                                       TimePoint Now) {
  std::vector<wire::LimitRow> Rows;
  for (const auto &[Target, Limit] : Limits)
    Rows.emplace_back(Target.Value,
                      Limit.Rate.value_or(RequestRate()).PerSecond,
                      ageOf(Limit.At, Now), Limit.Rate.has_value());
  return Rows;
}

absl::Status unpackLimits(const std::vector<wire::LimitRow> &Rows,
                          TimePoint From, LimitReports &Out) {
  std::size_t Refused = 0;
  for (const wire::LimitRow &Row : Rows) {
    if (!std::isfinite(Row.rate()) || Row.rate() < 0) {
      ++Refused;
      continue;
    }
    LimitReport &Limit = Out[TargetHash(Row.target())];
    Limit.At = From - Millis(Row.age_ms());
    if (Row.limited())
      Limit.Rate = RequestRate{Row.rate()};
  }
  if (Refused > 0)
    return makeError(ErrorKind::BadRequest,
                     std::to_string(Refused) + " limits that are no rates");
  return absl::OkStatus();
}

std::vector<wire::RenewalRow> packRenewals(const MembershipRenewals &Renewals,
                                           TimePoint Now) {
  std::vector<wire::RenewalRow> Rows;
  for (const auto &[Member, Age] : Renewals.currentAges(Now))
    Rows.emplace_back(Member.Value, static_cast<std::uint32_t>(Age.count()));
  return Rows;
}

void mergeRenewals(const std::vector<wire::RenewalRow> &Rows, TimePoint From,
                   MembershipRenewals &Out) {
  for (const wire::RenewalRow &Row : Rows)
    Out.record(MemberHash(Row.node()), From - Millis(Row.age_ms()));
}

wire::FeedMark packMarks(const EraMarks &Marks) {
  return {Marks.Era.Value, Marks.Versions.Current.Value,
          Marks.Versions.Previous.Value, Marks.Versions.Settled};
}

EraMarks unpackMarks(const wire::FeedMark &Row) {
  return {
      StoreEra(Row.era()),
      {ValueVersion(Row.shown()), ValueVersion(Row.before()), Row.settled()}};
}

std::vector<std::uint8_t> deflateRecords(const std::vector<KeyedRecord> &Rows) {
  wire::FeedRowsT Table;
  for (const KeyedRecord &Record : Rows)
    Table.rows.push_back(packRecord(Record));
  flatbuffers::FlatBufferBuilder Builder;
  Builder.Finish(wire::FeedRows::Pack(Builder, &Table));
  std::ostringstream Out;
  Poco::DeflatingOutputStream Deflate(
      Out, Poco::DeflatingStreamBuf::STREAM_ZLIB, DeflateLevel);
  Deflate.write(reinterpret_cast<const char *>(Builder.GetBufferPointer()),
                Builder.GetSize());
  Deflate.close();
  std::string Bytes = Out.str();
  return {Bytes.begin(), Bytes.end()};
}

absl::StatusOr<std::vector<KeyedRecord>>
inflateRecords(const std::vector<std::uint8_t> &Bytes) {
  std::istringstream In(std::string(Bytes.begin(), Bytes.end()));
  Poco::InflatingInputStream Inflate(In);
  std::string Text;
  std::array<char, InflateBlock> Block{};
  while (Inflate && Text.size() <= MaxInflatedBytes) {
    Inflate.read(Block.data(), Block.size());
    Text.append(Block.data(), static_cast<std::size_t>(Inflate.gcount()));
  }
  const auto *Data = reinterpret_cast<const std::uint8_t *>(Text.data());
  wire::AlignedVerifier Verifier(Data, Text.size());
  if (Inflate.bad() || Text.size() < sizeof(flatbuffers::uoffset_t) ||
      Text.size() > MaxInflatedBytes ||
      !Verifier.VerifyBuffer<wire::FeedRows>(nullptr))
    return makeError(ErrorKind::BadRequest, "damaged records");
  wire::FeedRowsT Table;
  flatbuffers::GetRoot<wire::FeedRows>(Data)->UnPackTo(&Table);
  std::vector<KeyedRecord> Rows;
  for (const auto &Row : Table.rows)
    Rows.push_back(readRecord(*Row));
  return Rows;
}

const std::vector<std::uint8_t> &FeedPacker::deflated(const KeyedPage &Page,
                                                      StorePosition From) {
  auto At = std::find_if(
      this->Cache.begin(), this->Cache.end(), [&](const CachedRecords &Cached) {
        return Cached.From == From && Cached.Next == Page.Next &&
               Cached.IsSnapshot == Page.IsSnapshot;
      });
  if (At == this->Cache.end()) {
    this->Cache.push_front(
        {From, Page.Next, Page.IsSnapshot, deflateRecords(Page.Records)});
    if (this->Cache.size() > MaxCached)
      this->Cache.pop_back();
    At = this->Cache.begin();
  }
  return At->Bytes;
}

std::unique_ptr<wire::FeedNewsT> FeedPacker::pack(const KeyedPage &Page,
                                                  StorePosition From,
                                                  TimePoint Now,
                                                  std::size_t MaxBytes) {
  auto News = std::make_unique<wire::FeedNewsT>();
  News->known = true;
  News->whole = Page.IsSnapshot;
  News->partial = Page.Partial;
  News->next = Page.Next.At.Value;
  News->era = Page.Next.Era.Value;
  News->shown = Page.Versions.Current.Value;
  News->before = Page.Versions.Previous.Value;
  News->settled = Page.Versions.Settled;
  News->proven_age_ms = ageOf(Page.ProvenAt, Now);
  News->hold_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(
      0, std::chrono::ceil<Millis>(Page.RetainUntil - Now).count()));
  std::size_t Bytes = 0;
  for (const KeyedRecord &Record : Page.Records)
    Bytes += Record.Key.size() + (Record.Value ? Record.Value->size() : 0);
  if (Bytes <= MinDeflateBytes) {
    for (const KeyedRecord &Record : Page.Records)
      News->rows.push_back(packRecord(Record));
    return News;
  }
  const std::vector<std::uint8_t> &Deflated = this->deflated(Page, From);
  News->left_out = Deflated.size() > MaxBytes;
  if (!News->left_out)
    News->deflated = Deflated;
  return News;
}

absl::StatusOr<KeyedPage> unpackFeed(const wire::FeedNewsT &News,
                                     TimePoint SentAt, TimePoint Now) {
  KeyedPage Page;
  Page.IsSnapshot = News.whole;
  Page.Next = {StoreEra(News.era), Offset(News.next)};
  Page.Versions = {ValueVersion(News.shown), ValueVersion(News.before),
                   News.settled};
  Page.Partial = News.partial;
  // A part proves nothing about later records.
  if (!News.partial)
    Page.ProvenAt = SentAt - Millis(News.proven_age_ms);
  if (News.hold_ms > 0)
    Page.RetainUntil =
        std::min(Now, SentAt + MaxResponseTime) + Millis(News.hold_ms);
  for (const auto &Row : News.rows)
    Page.Records.push_back(readRecord(*Row));
  if (!News.deflated.empty()) {
    absl::StatusOr<std::vector<KeyedRecord>> Rows =
        inflateRecords(News.deflated);
    if (!Rows.ok())
      return Rows.status();
    Page.Records = std::move(*Rows);
  }
  for (KeyedRecord &Record : Page.Records)
    Record.EndPosition.Era = Page.Next.Era;
  return Page;
}

} // namespace waycove
