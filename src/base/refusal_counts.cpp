// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "base/refusal_counts.h"

#include "base/metric_label.h"

#include <sstream>

namespace waycove {

namespace {

constexpr std::string_view OtherWorkspaces = "other";

} // namespace

void RefusalCounts::add(std::string_view Kind, std::string_view Workspace) {
  std::lock_guard Lock(this->Mutex);
  Row Key{std::string(Kind), std::string(Workspace)};
  if (this->Counts.size() >= MaxRows && !this->Counts.contains(Key))
    Key.Workspace = OtherWorkspaces;
  ++this->Counts[Key];
}

std::uint64_t RefusalCounts::get(std::string_view Kind,
                                 std::string_view Workspace) const {
  std::lock_guard Lock(this->Mutex);
  auto At = this->Counts.find({std::string(Kind), std::string(Workspace)});
  return At == this->Counts.end() ? 0 : At->second;
}

std::string RefusalCounts::text() const {
  std::ostringstream Out;
  Out << "# TYPE waycove_refusals_total counter\n";
  std::lock_guard Lock(this->Mutex);
  for (const auto &[Key, Count] : this->Counts)
    Out << "waycove_refusals_total{kind=\"" << Key.Kind << "\",workspace=\""
        << escapeLabel(Key.Workspace) << "\"} " << Count << "\n";
  return Out.str();
}

} // namespace waycove
