// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Exchange of log records and of the VM list between daemons.

#include "control/peers.h"

namespace waycove {

namespace {

constexpr Millis RecordRequestInterval(400);
/// Max size of the records in one response, in bytes.
constexpr std::size_t MaxRecordBytes = 1 << 20;

} // namespace

/// Requests records from the peer that has folded the most, if it is ahead.
void PeerExchange::requestRecords(TimePoint Now) {
  Offset Next = this->Fold.next();
  std::uint64_t MaxFolded = Next.Value;
  LinkRef From;
  std::uint64_t MaxServing = 0;
  bool AnyServes = false;
  for (const LinkRef &PeerLink : this->openLinks())
    this->Tables.Peers.read([&](const PeerTable &Rows) {
      const Peer *Other = Rows.find(PeerLink->Other);
      if (!Other || !Rows.isLive(PeerLink->Other, Now) || !Other->has(Serving))
        return;
      AnyServes = true;
      MaxServing = std::max(MaxServing, Other->Folded);
      if (Other->Folded > MaxFolded &&
          Now - PeerLink->RequestedAt > RecordRequestInterval) {
        MaxFolded = Other->Folded;
        From = PeerLink;
      }
    });
  if (From) {
    From->RequestedAt = Now;
    wire::RecordsWantedT Request;
    Request.from = Next.Value;
    this->send(*From, makeFrame(this->Tables.Clock.tick(SystemClock{}.wall()),
                                Request));
    return;
  }
  // A daemon that started while the log is unreachable serves once it has all
  // records that its peers have.
  bool MayServe = !this->Tables.LogUp && !this->Tables.Restoring;
  if (!this->Tables.Ready && MayServe && AnyServes &&
      Next.Value >= MaxServing && !this->Tables.Ready.exchange(true))
    this->Tables.Log.emit(EventCode::DaemonReady, this->Tables.Self.Node.Text,
                          "state received from peers, up to " +
                              std::to_string(Next.Value));
}

std::vector<std::unique_ptr<wire::VmRowT>>
PeerExchange::vmRows(std::uint64_t &Version) {
  std::vector<std::unique_ptr<wire::VmRowT>> Rows;
  this->Tables.Vms.read([&](const VmTable &Vms) {
    Version = Vms.Version;
    for (const auto &[Id, Info] : Vms.rows()) {
      auto Out = std::make_unique<wire::VmRowT>();
      Out->id = Id.Text;
      Out->domain = Info.Domain.Text;
      Out->host = Info.Address.Host;
      Out->port = Info.Address.Port;
      Out->leaving = Info.ListedLeaving;
      for (const Label &Row : Info.OwnLabels.rows()) {
        auto Pair = std::make_unique<wire::HeaderT>();
        Pair->name = Row.Key;
        Pair->value = Row.Value;
        Out->labels.push_back(std::move(Pair));
      }
      Rows.push_back(std::move(Out));
    }
  });
  return Rows;
}

/// Fills the VM table from a peer of the same data centre if the platform has
/// not yet provided the VM list.
void PeerExchange::receiveVms(const wire::RecordsT &Rows) {
  if (Rows.vms.empty() || this->Tables.VmsKnown)
    return;
  this->Tables.Vms.write([&](VmTable &Vms) {
    for (const auto &Row : Rows.vms) {
      VmInfo Info;
      Info.Id = VmId(Row->id);
      Info.DataCentre = this->Tables.Self.DataCentre;
      Info.Domain = DomainId(Row->domain);
      Info.Address = {Row->host, Row->port};
      Info.ListedLeaving = Row->leaving;
      for (const auto &Pair : Row->labels)
        Info.OwnLabels.set(Pair->name, Pair->value);
      Vms.put(Info);
    }
    Vms.Version = std::max(Vms.Version, Rows.vms_version);
  });
  this->Tables.VmsKnown = true;
  this->Tables.RoutingVersion.fetch_add(1);
}

/// Requests the VM list from a peer if it is unknown and the log is
/// unreachable.
void PeerExchange::requestVms() {
  if (this->Tables.VmsKnown || this->Tables.LogUp)
    return;
  for (const LinkRef &PeerLink : this->openLinks())
    if (PeerLink->Centre == this->Tables.Self.DataCentre) {
      wire::RecordsWantedT Request;
      Request.from = this->Fold.next().Value;
      Request.vms = true;
      this->send(
          *PeerLink,
          makeFrame(this->Tables.Clock.tick(SystemClock{}.wall()), Request));
      return;
    }
}

/// Responds to a request with records and, if requested, the VM list.
void PeerExchange::sendRecords(Link &To, const wire::RecordsWantedT &Request) {
  Offset From(Request.from);
  wire::RecordsT Response;
  if (Request.vms && To.Centre == this->Tables.Self.DataCentre &&
      this->Tables.VmsKnown)
    Response.vms = this->vmRows(Response.vms_version);
  std::vector<LogRecord> Rows = this->Tables.Tail.read(
      [&](const RecordTail &Tail) { return Tail.since(From, MaxRecordBytes); });
  for (const LogRecord &Row : Rows) {
    auto Out = std::make_unique<wire::LogEntryT>();
    Out->offset = Row.At.Value;
    Out->data.assign(Row.Bytes.begin(), Row.Bytes.end());
    Response.entries.push_back(std::move(Out));
  }
  Offset Next = this->Fold.next();
  Response.next = Next.Value;
  // If the tail no longer has these records, send the whole state.
  if (Rows.empty() && From < Next) {
    std::string Saved = this->Tables.State.read(
        [](const FoldState &State) { return State.save(); });
    Response.checkpoint.assign(Saved.begin(), Saved.end());
  }
  this->send(To, makeFrame(this->Tables.Clock.tick(SystemClock{}.wall()),
                           std::move(Response)));
}

void PeerExchange::receiveRecords(const wire::RecordsT &Rows) {
  this->receiveVms(Rows);
  if (!Rows.checkpoint.empty())
    this->Fold.applyCheckpoint({Rows.checkpoint.begin(), Rows.checkpoint.end()})
        .IgnoreError();
  std::vector<LogRecord> Records;
  for (const auto &Row : Rows.entries)
    Records.push_back(
        {Offset(Row->offset), {Row->data.begin(), Row->data.end()}});
  std::size_t Applied = this->Fold.apply(Records);
  if (Applied > 0)
    this->Tables.Log.emit(EventCode::RecordsFromPeer, std::to_string(Applied),
                          "up to " + std::to_string(this->Fold.next().Value));
}

} // namespace waycove
