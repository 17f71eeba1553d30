// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Keeping reserves loaded. A VM whose last group ran a model joins another one
// of that model in 0.2 s; one whose host merely has the weights takes a second
// or two. So a reserve joins a group of its own once, which is never opened,
// and leaves it when its weights are loaded.

#include "policy/domain_step.h"

#include <algorithm>

namespace waycove {

/// Orders reserves that never ran a model to load the one that their hosts have
/// staged. Each is tried once.
void DomainPlanner::warmReserves(Step &S) {
  for (const TargetRef &Row : S.freeVms()) {
    if (!Row->Loaded.empty() || Row->Group)
      continue;
    auto Model = std::find_if(
        S.Engine.Models.begin(), S.Engine.Models.end(),
        [&](const ModelSpec &Each) { return Row->hasStaged(Each.Name); });
    if (Model == S.Engine.Models.end() ||
        !this->WarmTried.insert(Row->Id).second)
      continue;
    GroupKey Key = this->nextKey(S, *Model);
    this->WarmUps[Key] = S.View.Now;
    S.Orders.push_back({OrderKind::Join,
                        Row,
                        Key,
                        Model->Name,
                        {Row->Id},
                        "a reserve is kept loaded"});
  }
}

/// Whether \p Key is such a group; it is left as soon as its VM is ready, or
/// where that takes too long.
bool DomainPlanner::judgeWarmUp(Step &S, const GroupKey &Key,
                                const Announced &Row) {
  auto At = this->WarmUps.find(Key);
  if (At == this->WarmUps.end())
    return false;
  const ModelSpec *Model = S.Engine.model(modelOf(Key.Name));
  bool Late =
      !Model || S.View.Now - At->second > formLimit(Model->StagedLoadTime);
  if (Row.AllReady || Late)
    this->release(S, Key, Row, Row.AllReady ? "it is loaded" : "it loads late");
  else
    S.hold(Row);
  return true;
}

} // namespace waycove
