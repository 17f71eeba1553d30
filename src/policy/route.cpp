// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/route.h"

#include <algorithm>
#include <cmath>

namespace waycove {

namespace {

/// Half-life of a reported queue length.
constexpr double ReportHalfLifeSeconds = 1.0;
constexpr unsigned FailuresToEject = 3;
constexpr Millis EjectTime(5000);
/// Largest fraction of targets ejected at once.
constexpr double MaxEjected = 0.3;
/// How many more requests the target with the cached prefix may have.
constexpr double AffinitySlack = 2;
constexpr std::size_t AffinityChoices = 2;
constexpr std::size_t RandomChoices = 2;
constexpr std::size_t MaxRandomChoices = 8;
/// Positions of one target on the ring, for a roughly even distribution.
constexpr std::size_t PointsPerTarget = 32;
constexpr std::uint64_t RingSeed = 7;
/// Positions examined for one choice before the whole ring is scanned.
constexpr std::size_t ProbeLimit = 8;
constexpr std::size_t PrefixBytes = 512;

/// Searches the targets of a view for usable ones.
struct Probe {
  const RouteView &View;
  const LoadTable &Load;
  const RouteQuery &Query;
  const std::function<bool(const RouteTarget &)> &Serves;
  bool AllowEjected = false;

  bool usable(const RouteTarget &Target) const {
    bool Avoided = std::find(this->Query.Avoid.begin(), this->Query.Avoid.end(),
                             Target.Head) != this->Query.Avoid.end();
    return !Avoided &&
           (this->AllowEjected ||
            !this->Load.isEjected(Target.Key, this->Query.Now)) &&
           Target.allows(this->Query.Wanted) && this->Serves(Target);
  }

  /// Returns the first usable target at or after ring position \p Place,
  /// examining at most \p Limit points and skipping \p Skip.
  const RouteTarget *from(std::uint64_t Place, std::size_t Limit,
                          const RouteTarget *Skip) const {
    const auto &Ring = this->View.Ring;
    auto At = static_cast<std::size_t>(
        std::lower_bound(Ring.begin(), Ring.end(), Place,
                         [](const RingPoint &Point, std::uint64_t P) {
                           return Point.Place < P;
                         }) -
        Ring.begin());
    const RouteTarget *Last = Skip;
    for (std::size_t I = 0; I < std::min(Limit, Ring.size()); ++I) {
      const RouteTarget &Candidate =
          this->View.Targets[Ring[(At + I) % Ring.size()].Target];
      if (&Candidate != Skip && &Candidate != Last && this->usable(Candidate))
        return &Candidate;
      Last = &Candidate;
    }
    return nullptr;
  }

  /// Returns the first usable target from a random one on, examining at most \p
  /// Limit targets.
  const RouteTarget *near(std::uint64_t Random, std::size_t Limit,
                          const RouteTarget *Skip) const {
    const auto &Rows = this->View.Targets;
    for (std::size_t I = 0; I < std::min(Limit, Rows.size()); ++I) {
      const RouteTarget &Candidate = Rows[(Random + I) % Rows.size()];
      if (&Candidate != Skip && this->usable(Candidate))
        return &Candidate;
    }
    return nullptr;
  }

  double load(const RouteTarget &Target) const {
    return this->Load.loadOf(Target.Key, this->Query.Now);
  }
};

const RouteTarget *chooseWith(const Probe &Search) {
  // 1. The less loaded of two random targets. While all slots of the best one
  // are taken, more are examined: near saturation two are rarely enough.
  const RouteTarget *Best = nullptr;
  std::uint64_t Random = Search.Query.Random;
  auto Slots = static_cast<double>(Search.View.SlotsPerReplica);
  for (std::size_t I = 0; I < MaxRandomChoices; ++I) {
    if (I >= RandomChoices && Best && Search.load(*Best) < Slots)
      break;
    const RouteTarget *Candidate = Search.near(Random, ProbeLimit, Best);
    if (Candidate && (!Best || Search.load(*Candidate) < Search.load(*Best)))
      Best = Candidate;
    Random = mixHash(Random, I + 1);
  }
  // 2. Labels may exclude nearly all targets: then examine every one.
  if (!Best)
    Best =
        Search.near(Search.Query.Random, Search.View.Targets.size(), nullptr);
  if (!Best || Search.Query.Affinity == 0)
    return Best;
  // 3. Prefer targets that may have the prefix cached, if not much more loaded.
  const RouteTarget *Skip = nullptr;
  std::uint64_t Place = Search.Query.Affinity;
  for (std::size_t I = 0; I < AffinityChoices; ++I) {
    const RouteTarget *Candidate = Search.from(Place, ProbeLimit, Skip);
    if (!Candidate)
      break;
    if (Search.load(*Candidate) <= Search.load(*Best) + AffinitySlack)
      return Candidate;
    Skip = Candidate;
  }
  return Best;
}

} // namespace

VmHash hashVm(const VmId &Vm) { return VmHash(hashText(Vm.Text)); }

void RouteTarget::addLabels(Labels Added) {
  if (std::find(this->MemberLabels.begin(), this->MemberLabels.end(), Added) ==
      this->MemberLabels.end())
    this->MemberLabels.push_back(std::move(Added));
}

bool RouteTarget::allows(const Selector &Wanted) const {
  return !this->MemberLabels.empty() &&
         std::all_of(this->MemberLabels.begin(), this->MemberLabels.end(),
                     [&](const Labels &Own) { return Wanted.matches(Own); });
}

void RouteView::makeRing() {
  this->Ring.clear();
  this->Ring.reserve(this->Targets.size() * PointsPerTarget);
  for (std::uint32_t I = 0; I < this->Targets.size(); ++I) {
    this->Targets[I].Key = hashVm(this->Targets[I].Head);
    std::uint64_t Own = hashText(this->Targets[I].Head.Text, RingSeed);
    for (std::uint64_t P = 0; P < PointsPerTarget; ++P)
      this->Ring.push_back({mixHash(Own, P + 1), I});
  }
  std::sort(this->Ring.begin(), this->Ring.end(),
            [](const RingPoint &Left, const RingPoint &Right) {
              return Left.Place != Right.Place ? Left.Place < Right.Place
                                               : Left.Target < Right.Target;
            });
}

void LoadTable::onStart(VmHash Head) { ++this->Entries[Head].InFlight; }

void LoadTable::onEnd(VmHash Head, bool Failed, TimePoint Now) {
  Entry &State = this->Entries[Head];
  if (State.InFlight > 0)
    --State.InFlight;
  if (Failed)
    ++State.Failures;
  else if (State.EjectedUntil <= Now)
    State.Failures = 0;
}

void LoadTable::onReport(VmHash Head, double Queue, TimePoint Now) {
  Entry &State = this->Entries[Head];
  State.Reported = Queue;
  State.ReportedAt = Now;
}

double LoadTable::loadOf(VmHash Head, TimePoint Now) const {
  auto At = this->Entries.find(Head);
  if (At == this->Entries.end())
    return 0;
  const Entry &State = At->second;
  double Age = std::chrono::duration<double>(Now - State.ReportedAt).count();
  double Decayed = State.Reported * std::exp2(-Age / ReportHalfLifeSeconds);
  return State.InFlight + Decayed;
}

bool LoadTable::isEjected(VmHash Head, TimePoint Now) const {
  auto At = this->Entries.find(Head);
  return At != this->Entries.end() && At->second.EjectedUntil > Now;
}

std::size_t LoadTable::ejectedCount(TimePoint Now) const {
  return static_cast<std::size_t>(std::count_if(
      this->Entries.begin(), this->Entries.end(),
      [&](const auto &R) { return R.second.EjectedUntil > Now; }));
}

bool LoadTable::ejectIfFailing(VmHash Head, std::size_t Known, TimePoint Now) {
  Entry &State = this->Entries[Head];
  if (State.Failures < FailuresToEject || State.EjectedUntil > Now)
    return false;
  double After = static_cast<double>(this->ejectedCount(Now) + 1);
  if (After > MaxEjected * static_cast<double>(Known))
    return false;
  State.EjectedUntil = Now + EjectTime;
  State.Failures = FailuresToEject - 1;
  return true;
}

void LoadTable::forget(const std::function<bool(VmHash)> &IsKnown) {
  std::erase_if(this->Entries, [&](const auto &Entry) {
    return Entry.second.InFlight == 0 && !IsKnown(Entry.first);
  });
}

const RouteTarget *
pickTarget(const RouteView &View, const LoadTable &Load,
           const RouteQuery &Query,
           const std::function<bool(const RouteTarget &)> &Serves) {
  if (View.Targets.empty())
    return nullptr;
  Probe Search{View, Load, Query, Serves, false};
  if (const RouteTarget *Found = chooseWith(Search))
    return Found;
  // Fall back to targets that are ejected.
  Search.AllowEjected = true;
  return chooseWith(Search);
}

std::uint64_t affinityOf(const std::string &Workspace,
                         const std::string &Session,
                         const std::string &Prompt) {
  std::uint64_t Own = hashText(Workspace);
  if (!Session.empty())
    return mixHash(Own, hashText(Session)) | 1;
  return mixHash(Own, hashText(Prompt.substr(0, PrefixBytes))) | 1;
}

} // namespace waycove
