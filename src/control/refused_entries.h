// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/events.h"
#include "base/ids.h"

#include <map>
#include <string>
#include <utility>

namespace waycove {

/// Registry entries that name no target. Logs each value once, although the
/// whole registry is read repeatedly. Used by one thread.
class RefusedEntries {
public:
  explicit RefusedEntries(Events &Log) : Log(Log) {}

  void refuse(const VmId &Id, const std::string &Value,
              const std::string &Reason) {
    std::uint64_t Hash = hashText(Value);
    auto [At, IsNew] = this->Values.try_emplace(Id, Hash);
    if (!IsNew && std::exchange(At->second, Hash) == Hash)
      return;
    this->Log.emit(EventCode::RegistryRefused, Id.Text,
                   LogFields().add("reason", Reason));
  }
  /// Forgets an entry that is gone or is valid now.
  void forget(const VmId &Id) { this->Values.erase(Id); }
  /// Forgets those of which \p IsRefused does not hold.
  template <typename F> void retainIf(F &&IsRefused) {
    std::erase_if(this->Values,
                  [&](const auto &Entry) { return !IsRefused(Entry.first); });
  }

private:
  Events &Log;
  /// Hash of the newest refused value, by key.
  std::map<VmId, std::uint64_t> Values;
};

} // namespace waycove
