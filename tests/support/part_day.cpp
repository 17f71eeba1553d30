// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "support/part_day.h"

#include <algorithm>

namespace waycove::test {

namespace {

constexpr int TickMs = 10;
constexpr int ReportMs = 250;
/// Time from the start of a crashing request to the crash.
constexpr int CrashDelayMs = 60;
constexpr int CrashesBeforeLate = 5;
const PoolKey Pool{ServiceId("llm"), "model"};

struct Prompt {
  ContentHash Content;
  std::vector<std::string> Parts;
  bool IsBad = false;
};

struct Run {
  Prompt Sent;
  std::size_t Node;
  int Target;
  int SentAt;
  int EndsAt;
  bool IsRetry;
};

class PartDaySimulation {
public:
  PartDaySimulation(const PartDay &Day, SuspectWay Way, std::uint64_t Seed)
      : Day(Day), Way(Way), Random(Seed),
        Nodes(static_cast<std::size_t>(Day.Nodes)),
        BackAt(static_cast<std::size_t>(Day.Targets), 0),
        Lives(static_cast<std::size_t>(Day.Targets), 0) {}

  PartDayResult play() {
    for (this->Ms = 0; this->Ms < this->Day.DurationMs; this->Ms += TickMs) {
      this->sendAll();
      this->finish();
      this->loseDomain();
      this->restartNode();
      if (this->Ms % ReportMs == 0)
        this->exchangeReports();
    }
    return this->Result;
  }

private:
  int pick(int Below) {
    return std::uniform_int_distribution<int>(0, Below - 1)(this->Random);
  }
  static VmIncarnation incarnation(int Target, int Life) {
    return {VmId(std::to_string(Target)),
            WallMs(static_cast<std::uint64_t>(Life) + 1)};
  }
  bool isBad() const { return this->Ms >= this->Day.SoundUntilMs; }

  CrashSuspects suspects(const Prompt &Sent) const {
    CrashSuspects All = suspectsOf(Sent.Content, Pool, Sent.Parts);
    if (this->Way == SuspectWay::Content)
      All.resize(1);
    else if (this->Way == SuspectWay::Parts)
      All.erase(All.begin());
    return All;
  }

  void sendAll() {
    for (const std::vector<std::string> &Parts : this->Day.Crashing)
      if (this->Ms % this->Day.CrashingMs == 0)
        this->send({ContentHash(++this->Next), Parts, true}, false);
    for (; this->NextSoundMs < this->Ms + TickMs;
         this->NextSoundMs += this->Day.SoundMs) {
      // A tenth of the tenants sends most.
      int Tenant = this->pick(1 + this->pick(this->Day.Tenants));
      Prompt Sound{ContentHash(++this->Next),
                   {this->Day.First, "tenant" + std::to_string(Tenant)}};
      for (int Part = 0; Part < this->Day.FloodParts; ++Part)
        Sound.Parts.push_back("once" + std::to_string(++this->Next));
      this->send(Sound, false);
    }
  }

  void send(const Prompt &Sent, bool IsRetry) {
    auto Node = static_cast<std::size_t>(this->pick(this->Day.Nodes));
    CrashBlame &Blame = this->Nodes[Node];
    CrashBlame::Judgement Judged =
        Blame.judge(this->suspects(Sent), this->now());
    bool RunsTrial = Judged.Found == CrashBlame::Verdict::Trial &&
                     Node == Judged.Culprit.Value % this->Nodes.size();
    if (RunsTrial)
      Blame.recordTrial(this->suspects(Sent), this->now());
    bool IsSent = Judged.Found == CrashBlame::Verdict::Allow || RunsTrial;
    this->count(Sent, IsSent, IsRetry);
    if (!IsSent)
      return;
    int Target = this->pick(this->Day.Targets);
    for (int I = 0; I < this->Day.Targets && this->Ms < this->backAt(Target);
         ++I)
      Target = (Target + 1) % this->Day.Targets;
    if (this->Ms < this->backAt(Target))
      return;
    bool Crashes = Sent.IsBad && this->isBad();
    int Takes = Crashes ? CrashDelayMs
                        : this->Day.MinRunMs + this->pick(this->Day.MaxRunMs -
                                                          this->Day.MinRunMs);
    this->Running.push_back(
        {Sent, Node, Target, this->Ms, this->Ms + Takes, IsRetry});
  }

  void count(const Prompt &Sent, bool IsSent, bool IsRetry) {
    bool IsLate = this->Result.Crashes >= CrashesBeforeLate &&
                  this->Ms > this->FifthAt + PartDayResult::ContactMs;
    bool IsAfterwards = this->Result.Crashes >= CrashesBeforeLate &&
                        this->Ms > this->FifthAt + 2 * PartDayResult::ContactMs;
    if (Sent.IsBad) {
      this->Result.SentLate += IsSent && IsLate ? 1 : 0;
      return;
    }
    if (IsRetry)
      return;
    ++this->Result.SoundSent;
    this->Result.SoundRefused += IsSent ? 0 : 1;
    this->Result.SoundAfterwards += IsAfterwards ? 1 : 0;
    this->Result.RefusedAfterwards += IsAfterwards && !IsSent ? 1 : 0;
  }

  void finish() {
    std::vector<Run> Ended;
    std::erase_if(this->Running, [&](const Run &Row) {
      bool HasEnded = Row.EndsAt <= this->Ms;
      if (HasEnded)
        Ended.push_back(Row);
      return HasEnded;
    });
    for (const Run &Row : Ended) {
      if (this->Ms < this->backAt(Row.Target)) { // crashed in this tick
        this->lose(Row);
      } else if (Row.Sent.IsBad && this->isBad()) {
        if (++this->Result.Crashes == CrashesBeforeLate)
          this->FifthAt = this->Ms;
        this->lose(Row);
        this->crash(Row.Target);
      } else {
        this->Nodes[Row.Node].recordServed(this->suspects(Row.Sent),
                                           this->now());
      }
    }
  }

  void lose(const Run &Row) {
    int Life = this->Lives[static_cast<std::size_t>(Row.Target)];
    bool IsDown = this->Ms < this->backAt(Row.Target);
    this->Nodes[Row.Node].recordLost(
        this->suspects(Row.Sent),
        incarnation(Row.Target, IsDown ? Life - 1 : Life), at(Row.SentAt),
        this->now());
    if (!Row.IsRetry)
      this->send(Row.Sent, true);
  }

  void crash(int Target) {
    std::vector<Run> Lost;
    std::erase_if(this->Running, [&](const Run &Row) {
      if (Row.Target == Target)
        Lost.push_back(Row);
      return Row.Target == Target;
    });
    ++this->Lives[static_cast<std::size_t>(Target)];
    this->BackAt[static_cast<std::size_t>(Target)] =
        this->Ms + this->Day.BackAfterMs;
    for (const Run &Row : Lost)
      this->lose(Row);
  }

  void loseDomain() {
    if (this->Day.DomainSize == 0 || this->Ms == 0 ||
        this->Ms % this->Day.DomainLossMs != 0)
      return;
    int First = this->pick(this->Day.Targets);
    for (int I = 0; I < this->Day.DomainSize; ++I)
      this->crash((First + I) % this->Day.Targets);
  }

  void restartNode() {
    if (this->Day.RestartMs == 0 || this->Ms == 0 ||
        this->Ms % this->Day.RestartMs != 0)
      return;
    std::size_t Node = this->NextRestart++ % this->Nodes.size();
    CrashEvidenceMap Known =
        this->Nodes[(Node + 1) % this->Nodes.size()].allRows();
    this->Nodes[Node] = CrashBlame();
    this->Nodes[Node].merge(Known, this->now());
  }

  /// Reports pass through one node, as they do between real ones.
  void exchangeReports() {
    auto NeverSince = [](const VmIncarnation &) { return TimePoint(); };
    for (CrashBlame &Blame : this->Nodes)
      Blame.resolveLosses(NeverSince, this->now());
    CrashEvidenceMap FromFirst = this->Nodes[0].recentRows(this->now());
    for (std::size_t I = 1; I < this->Nodes.size(); ++I) {
      CrashEvidenceMap Report = this->Nodes[I].recentRows(this->now());
      this->Result.MaxReported =
          std::max(this->Result.MaxReported, Report.size());
      this->Nodes[0].merge(Report, this->now());
      this->Nodes[I].merge(FromFirst, this->now());
    }
  }

  TimePoint now() const { return at(this->Ms); }
  int backAt(int Target) const {
    return this->BackAt[static_cast<std::size_t>(Target)];
  }

  const PartDay Day;
  const SuspectWay Way;
  std::mt19937_64 Random;
  std::vector<CrashBlame> Nodes;
  std::vector<Run> Running;
  std::vector<int> BackAt;
  std::vector<int> Lives;
  std::uint64_t Next = 0;
  std::size_t NextRestart = 0;
  int Ms = 0;
  int NextSoundMs = 0;
  int FifthAt = 0;
  PartDayResult Result;
};

} // namespace

PartDayResult playPartDay(const PartDay &Day, SuspectWay Way,
                          std::uint64_t Seed) {
  return PartDaySimulation(Day, Way, Seed).play();
}

} // namespace waycove::test
