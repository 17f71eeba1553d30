// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// How records of the log, and the VM list, pass between daemons.

#include "control/peers.h"

namespace waycove {

namespace {

constexpr Millis RecordRequestInterval(400);
/// Records sent in one answer, in bytes.
constexpr std::size_t MaxRecordBytes = 1 << 20;

} // namespace

void PeerExchange::requestRecords(TimePoint Now) {
  Offset Mine = this->Fold.next();
  std::uint64_t Best = Mine.Value;
  LinkRef From;
  std::uint64_t Highest = 0;
  bool AnyServes = false;
  for (const LinkRef &Row : this->openLinks())
    this->Tables.Peers.read([&](const PeerTable &Rows) {
      const Peer *Other = Rows.find(Row->Other);
      if (!Other || !Rows.isLive(Row->Other, Now) || !Other->has(Serving))
        return;
      AnyServes = true;
      Highest = std::max(Highest, Other->Folded);
      if (Other->Folded > Best &&
          Now - Row->RequestedAt > RecordRequestInterval) {
        Best = Other->Folded;
        From = Row;
      }
    });
  if (From) {
    From->RequestedAt = Now;
    wire::RecordsWantedT Asked;
    Asked.from = Mine.Value;
    this->send(*From,
               makeFrame(this->Tables.Clock.tick(SystemClock{}.wall()), Asked));
    return;
  }
  // A daemon that started while the platform is away serves as soon as it has
  // all that its peers have.
  bool MayServe = !this->Tables.LogUp && !this->Tables.Restoring;
  if (!this->Tables.Ready && MayServe && AnyServes && Mine.Value >= Highest &&
      !this->Tables.Ready.exchange(true))
    this->Tables.Log.emit(EventCode::DaemonReady, this->Tables.Self.Node.Text,
                          "state taken from peers, up to " +
                              std::to_string(Mine.Value));
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

/// A daemon that started while the platform is away has its VMs from a peer of
/// the same data centre.
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

void PeerExchange::requestVms() {
  if (this->Tables.VmsKnown || this->Tables.LogUp)
    return;
  for (const LinkRef &Row : this->openLinks())
    if (Row->Centre == this->Tables.Self.DataCentre) {
      wire::RecordsWantedT Asked;
      Asked.from = this->Fold.next().Value;
      Asked.vms = true;
      this->send(*Row, makeFrame(this->Tables.Clock.tick(SystemClock{}.wall()),
                                 Asked));
      return;
    }
}

void PeerExchange::sendRecords(Link &To, const wire::RecordsWantedT &Asked) {
  Offset From(Asked.from);
  wire::RecordsT Answer;
  if (Asked.vms && To.Centre == this->Tables.Self.DataCentre &&
      this->Tables.VmsKnown)
    Answer.vms = this->vmRows(Answer.vms_version);
  std::vector<LogRecord> Rows = this->Tables.Tail.read(
      [&](const RecordTail &Tail) { return Tail.since(From, MaxRecordBytes); });
  for (const LogRecord &Row : Rows) {
    auto Out = std::make_unique<wire::LogEntryT>();
    Out->offset = Row.At.Value;
    Out->data.assign(Row.Bytes.begin(), Row.Bytes.end());
    Answer.entries.push_back(std::move(Out));
  }
  Offset Next = this->Fold.next();
  Answer.next = Next.Value;
  // The tail no longer reaches back that far: then the whole state.
  if (Rows.empty() && From < Next) {
    std::string Saved = this->Tables.State.read(
        [](const FoldState &State) { return State.save(); });
    Answer.checkpoint.assign(Saved.begin(), Saved.end());
  }
  this->send(To, makeFrame(this->Tables.Clock.tick(SystemClock{}.wall()),
                           std::move(Answer)));
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
  std::size_t Taken = this->Fold.apply(Records);
  if (Taken > 0)
    this->Tables.Log.emit(EventCode::RecordsFromPeer, std::to_string(Taken),
                          "up to " + std::to_string(this->Fold.next().Value));
}

} // namespace waycove
