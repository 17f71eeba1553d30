// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/route.h"

#include <algorithm>
#include <cmath>

namespace waycove {

namespace {

/// A reported queue counts for less as it ages: by half in this time.
constexpr double ReportHalfLifeSeconds = 1.0;
constexpr unsigned FailuresToEject = 3;
constexpr Millis EjectTime(5000);
/// At most this share of targets is ejected at once.
constexpr double MostEjected = 0.3;
/// How much more loaded the target with the cached prefix may be.
constexpr double AffinitySlack = 2;
constexpr std::size_t AffinityChoices = 2;
constexpr std::size_t RandomChoices = 2;
constexpr std::size_t MostChoices = 8;
/// Places of one target on the ring: enough that parts differ by a fifth.
constexpr std::size_t PointsPerTarget = 32;
constexpr std::uint64_t RingSeed = 7;
/// Ring places looked at for one choice before the whole ring is scanned.
constexpr std::size_t ProbeLimit = 8;
constexpr std::size_t PrefixBytes = 512;

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

  /// The first usable target at or after ring place \p Place, looking at no
  /// more than \p Limit points; \p Skip is passed over.
  const RouteTarget *from(std::uint64_t Place, std::size_t Limit,
                          const RouteTarget *Skip) const {
    const auto &Ring = this->View.Ring;
    auto At = static_cast<std::size_t>(
        std::lower_bound(Ring.begin(), Ring.end(), Place,
                         [](const RingPoint &Row, std::uint64_t P) {
                           return Row.Place < P;
                         }) -
        Ring.begin());
    const RouteTarget *Last = Skip;
    for (std::size_t I = 0; I < std::min(Limit, Ring.size()); ++I) {
      const RouteTarget &Row =
          this->View.Targets[Ring[(At + I) % Ring.size()].Target];
      if (&Row != Skip && &Row != Last && this->usable(Row))
        return &Row;
      Last = &Row;
    }
    return nullptr;
  }

  /// The first usable target from a random one on, looking at no more than
  /// \p Limit.
  const RouteTarget *near(std::uint64_t Random, std::size_t Limit,
                          const RouteTarget *Skip) const {
    const auto &Rows = this->View.Targets;
    for (std::size_t I = 0; I < std::min(Limit, Rows.size()); ++I) {
      const RouteTarget &Row = Rows[(Random + I) % Rows.size()];
      if (&Row != Skip && this->usable(Row))
        return &Row;
    }
    return nullptr;
  }

  double load(const RouteTarget &Target) const {
    return this->Load.loadOf(Target.Key, this->Query.Now);
  }
};

const RouteTarget *pickWith(const Probe &Look) {
  // 1. The less loaded of two random targets. Where both have all their slots
  // taken, a few more are asked: near saturation two are seldom enough.
  const RouteTarget *Best = nullptr;
  std::uint64_t Random = Look.Query.Random;
  auto Slots = static_cast<double>(Look.View.SlotsPerReplica);
  for (std::size_t I = 0; I < MostChoices; ++I) {
    if (I >= RandomChoices && Best && Look.load(*Best) < Slots)
      break;
    const RouteTarget *Row = Look.near(Random, ProbeLimit, Best);
    if (Row && (!Best || Look.load(*Row) < Look.load(*Best)))
      Best = Row;
    Random = mixHash(Random, I + 1);
  }
  // 2. Labels may exclude nearly all: then every target is looked at.
  if (!Best)
    Best = Look.near(Look.Query.Random, Look.View.Targets.size(), nullptr);
  if (!Best || Look.Query.Affinity == 0)
    return Best;
  // 3. Targets that may hold the prefix, if not much more loaded.
  const RouteTarget *Skip = nullptr;
  std::uint64_t Place = Look.Query.Affinity;
  for (std::size_t I = 0; I < AffinityChoices; ++I) {
    const RouteTarget *Row = Look.from(Place, ProbeLimit, Skip);
    if (!Row)
      break;
    if (Look.load(*Row) <= Look.load(*Best) + AffinitySlack)
      return Row;
    Skip = Row;
  }
  return Best;
}

} // namespace

VmHash hashVm(const VmId &Vm) { return VmHash(hashText(Vm.Text)); }

void RouteTarget::addLabels(Labels Row) {
  if (std::find(this->MemberLabels.begin(), this->MemberLabels.end(), Row) ==
      this->MemberLabels.end())
    this->MemberLabels.push_back(std::move(Row));
}

bool RouteTarget::allows(const Selector &Wanted) const {
  return !this->MemberLabels.empty() &&
         std::all_of(this->MemberLabels.begin(), this->MemberLabels.end(),
                     [&](const Labels &Row) { return Wanted.matches(Row); });
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

void LoadTable::onStart(VmHash Head) { ++this->Rows[Head].InFlight; }

void LoadTable::onEnd(VmHash Head, bool Failed, TimePoint Now) {
  Row &Entry = this->Rows[Head];
  if (Entry.InFlight > 0)
    --Entry.InFlight;
  if (Failed)
    ++Entry.Failures;
  else if (Entry.EjectedUntil <= Now)
    Entry.Failures = 0;
}

void LoadTable::onReport(VmHash Head, double Queue, TimePoint Now) {
  Row &Entry = this->Rows[Head];
  Entry.Reported = Queue;
  Entry.ReportedAt = Now;
}

double LoadTable::loadOf(VmHash Head, TimePoint Now) const {
  auto At = this->Rows.find(Head);
  if (At == this->Rows.end())
    return 0;
  const Row &Entry = At->second;
  double Age = std::chrono::duration<double>(Now - Entry.ReportedAt).count();
  double Decayed = Entry.Reported * std::exp2(-Age / ReportHalfLifeSeconds);
  return Entry.InFlight + Decayed;
}

bool LoadTable::isEjected(VmHash Head, TimePoint Now) const {
  auto At = this->Rows.find(Head);
  return At != this->Rows.end() && At->second.EjectedUntil > Now;
}

std::size_t LoadTable::ejectedCount(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::count_if(this->Rows.begin(), this->Rows.end(), [&](const auto &R) {
        return R.second.EjectedUntil > Now;
      }));
}

bool LoadTable::ejectIfFailing(VmHash Head, std::size_t Known, TimePoint Now) {
  Row &Entry = this->Rows[Head];
  if (Entry.Failures < FailuresToEject || Entry.EjectedUntil > Now)
    return false;
  double After = static_cast<double>(this->ejectedCount(Now) + 1);
  if (After > MostEjected * static_cast<double>(Known))
    return false;
  Entry.EjectedUntil = Now + EjectTime;
  Entry.Failures = FailuresToEject - 1;
  return true;
}

void LoadTable::forget(const std::function<bool(VmHash)> &IsKnown) {
  std::erase_if(this->Rows, [&](const auto &Entry) {
    return Entry.second.InFlight == 0 && !IsKnown(Entry.first);
  });
}

const RouteTarget *
pickTarget(const RouteView &View, const LoadTable &Load,
           const RouteQuery &Query,
           const std::function<bool(const RouteTarget &)> &Serves) {
  if (View.Targets.empty())
    return nullptr;
  Probe Look{View, Load, Query, Serves, false};
  if (const RouteTarget *Found = pickWith(Look))
    return Found;
  // Better a target that failed lately than none.
  Look.AllowEjected = true;
  return pickWith(Look);
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
