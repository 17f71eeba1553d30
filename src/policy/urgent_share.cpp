// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/urgent_share.h"

#include <algorithm>

namespace waycove {

namespace {

/// Draws from a request's random bits, in steps of a ten-thousandth.
constexpr std::uint64_t UrgentDraw = 0x0e67;
constexpr std::uint64_t UrgentScale = 10000;

double servingGroups(const std::vector<Serving> &Rows,
                     const std::string &Model) {
  return static_cast<double>(
      std::count_if(Rows.begin(), Rows.end(),
                    [&](const Serving &Row) { return Row.Model == Model; }));
}

} // namespace

double UrgentShares::part(const ServiceId &Service,
                          const std::string &Model) const {
  auto At = this->Parts.find({Service, Model});
  return At == this->Parts.end() ? 1 : At->second;
}

bool UrgentShares::takes(const ServiceId &Service, const std::string &Model,
                         std::uint64_t Random) const {
  std::uint64_t Drawn = mixHash(Random, UrgentDraw) % UrgentScale;
  return static_cast<double>(Drawn) <
         this->part(Service, Model) * static_cast<double>(UrgentScale);
}

std::vector<std::string> UrgentShares::update(const RoutingConfig &Config,
                                              const ServingView &View,
                                              const DemandTable &Counted,
                                              double CountedPart) {
  std::vector<std::string> Changed;
  for (const auto &[Service, Rows] : View.ByService) {
    const ServiceSpec *Spec = Config.service(Service);
    // Only with the engine's speed is a load of 1 a full group.
    if (!Spec || !Spec->hasGroups() || !statesSpeed(*Spec->Engine))
      continue;
    DemandTable Rates = demandRates(*Spec->Engine, Counted, CountedPart);
    for (const ModelSpec &Model : Spec->Engine->Models) {
      double Load = groupLoad(*Spec->Engine, Model, Rates[Model.Name],
                              servingGroups(Rows, Model.Name));
      double Part = Load > 1 ? std::max(LeastPart, MostUrgentLoad / Load) : 1;
      double &Now =
          this->Parts.try_emplace({Service, Model.Name}, 1).first->second;
      if ((std::exchange(Now, Part) < 1) != (Part < 1))
        Changed.push_back(Model.Name);
    }
  }
  return Changed;
}

} // namespace waycove
