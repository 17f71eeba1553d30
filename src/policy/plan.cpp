// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/plan.h"

#include <algorithm>

namespace waycove {

namespace {

/// Orders the candidates differently for each slot, so that controllers that
/// plan concurrently rarely choose the same VM.
void shuffleFor(std::vector<PlanVm> &Candidates, const SlotKey &Place) {
  std::uint64_t Seed =
      mixHash(hashText(Place.Deployment.Text), Place.Index.Value);
  std::sort(Candidates.begin(), Candidates.end(),
            [&](const PlanVm &Left, const PlanVm &Right) {
              return hashText(Left.Vm.Text, Seed) <
                     hashText(Right.Vm.Text, Seed);
            });
}

/// Returns the domain that \p Need VMs fit best: the one with the fewest free
/// VMs left over, to avoid fragmentation. Ties are broken by the hash of the
/// slot.
std::optional<DomainId> chooseDomain(const PlanPool &Pool, std::size_t Need,
                                     const SlotKey &Place, bool FirstFit) {
  std::optional<DomainId> Best;
  std::size_t BestRest = 0;
  std::uint64_t BestTie = 0;
  std::uint64_t Seed =
      mixHash(hashText(Place.Deployment.Text), Place.Index.Value);
  for (const DomainId &Domain : Pool.domains()) {
    std::size_t Room = Pool.freeCount(Domain);
    if (Room < Need)
      continue;
    if (FirstFit)
      return Domain;
    std::size_t Rest = (Room - Need) % Need;
    std::uint64_t Tie = hashText(Domain.Text, Seed);
    if (!Best || Rest < BestRest || (Rest == BestRest && Tie < BestTie)) {
      Best = Domain;
      BestRest = Rest;
      BestTie = Tie;
    }
  }
  return Best;
}

} // namespace

PlanPool::PlanPool(std::vector<PlanVm> Source) {
  for (PlanVm &Candidate : Source) {
    if (Candidate.Usable && Candidate.Group == Fence())
      this->Free[Candidate.Domain].push_back(Candidate.Vm);
    VmId Vm = Candidate.Vm;
    this->Vms.emplace(std::move(Vm), std::move(Candidate));
  }
}

const PlanVm *PlanPool::find(const VmId &Vm) const {
  auto At = this->Vms.find(Vm);
  return At == this->Vms.end() ? nullptr : &At->second;
}

void PlanPool::take(const VmId &Vm) {
  const PlanVm *Candidate = this->find(Vm);
  if (!Candidate)
    return;
  if (auto At = this->Free.find(Candidate->Domain); At != this->Free.end()) {
    std::erase(At->second, Vm);
    if (At->second.empty())
      this->Free.erase(At);
  }
}

std::vector<PlanVm> PlanPool::freeIn(const DomainId &Domain) const {
  std::vector<PlanVm> Found;
  if (auto At = this->Free.find(Domain); At != this->Free.end())
    for (const VmId &Vm : At->second)
      Found.push_back(this->Vms.at(Vm));
  return Found;
}

std::size_t PlanPool::freeCount(const DomainId &Domain) const {
  auto At = this->Free.find(Domain);
  return At == this->Free.end() ? 0 : At->second.size();
}

std::vector<DomainId> PlanPool::domains() const {
  std::vector<DomainId> Found;
  for (const auto &[Domain, Vms] : this->Free)
    Found.push_back(Domain);
  return Found;
}

std::optional<Proposal> planSlot(const SlotKey &Place, const Deployment &Spec,
                                 const Group *Present, PlanPool &Pool,
                                 RepairPolicy Policy, bool Release) {
  std::size_t Need = Spec.VmsPerReplica;
  Proposal Plan{Place, Present ? Present->Id : Fence(), DomainId(), {}};
  // 1. Find the usable members of the present group.
  std::vector<PlanVm> Remaining;
  if (Present)
    for (const VmId &Vm : Present->Vms)
      if (const PlanVm *Candidate = Pool.find(Vm);
          Candidate && Candidate->Usable)
        Remaining.push_back(*Candidate);
  if (Present && Remaining.size() == Need && Present->Vms.size() == Need)
    return std::nullopt;
  // 2. Complete the group within its domain, where members have the model
  // loaded.
  if (Present && Policy == RepairPolicy::KeepMembers && !Remaining.empty() &&
      Pool.freeCount(Present->Domain) + Remaining.size() >= Need) {
    std::vector<PlanVm> Spares = Pool.freeIn(Present->Domain);
    shuffleFor(Spares, Place);
    if (Remaining.size() > Need)
      Remaining.resize(Need);
    Plan.Domain = Present->Domain;
    Plan.Vms = Remaining;
    for (const PlanVm &Candidate : Spares)
      if (Plan.Vms.size() < Need)
        Plan.Vms.push_back(Candidate);
  }
  // 3. Otherwise choose a domain with room for the whole group.
  if (Plan.Vms.empty())
    if (auto Domain =
            chooseDomain(Pool, Need, Place, Policy == RepairPolicy::Naive)) {
      std::vector<PlanVm> Candidates = Pool.freeIn(*Domain);
      shuffleFor(Candidates, Place);
      Candidates.resize(Need);
      Plan.Domain = *Domain;
      Plan.Vms = std::move(Candidates);
    }
  if (Plan.Vms.empty() && !(Present && Release))
    return std::nullopt;
  for (const PlanVm &Candidate : Plan.Vms)
    Pool.take(Candidate.Vm);
  return Plan;
}

} // namespace waycove
