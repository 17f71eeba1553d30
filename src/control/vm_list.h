// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/vms.h"

#include <absl/status/statusor.h>
#include <concepts>

namespace waycove {

/// Changes of the VM list since a version. Like offsets of the log, a version
/// includes the era.
struct VmPage {
  std::uint64_t Version = 0;
  /// The page has all VMs, not only changes.
  bool Whole = false;
  std::vector<VmInfo> Vms;
  std::vector<VmId> Removed;
};

/// The platform's list of VMs; it may be out of date.
template <typename T>
concept VmList = requires(T &L, const DataCentreId &Centre,
                          std::uint64_t Since) {
  { L.list(Centre, Since) } -> std::same_as<absl::StatusOr<VmPage>>;
};

} // namespace waycove
