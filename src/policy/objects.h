// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/yaml.h"
#include "policy/labels.h"

#include <memory>
#include <optional>
#include <variant>

namespace waycove {

/// Number of replicas of a deployment in one data centre.
struct ReplicaCount {
  DataCentreId DataCentre;
  std::uint64_t Replicas = 0;
};

/// A model served by groups of VMs.
struct Deployment {
  std::string Model;
  std::string Version;
  std::uint64_t VmsPerReplica = 4;
  std::uint64_t SlotsPerReplica = 8;
  /// Tokens that the KV cache of one replica holds; zero if not specified.
  std::uint64_t KvTokensPerReplica = 0;
  std::vector<ReplicaCount> Replicas;
  Selector Match;
  Selector Workspaces;
  std::vector<std::string> Selectors;

  std::uint64_t replicasIn(const DataCentreId &DataCentre) const;
};

/// A plain HTTP endpoint served by single VMs.
struct Service {
  Selector Match;
  Selector Workspaces;
  std::vector<std::string> Selectors;
  std::vector<std::string> RepeatableMethods;
};

/// A customer: its key, its weight, and where its requests may run.
struct Workspace {
  std::string KeyDigest;
  std::uint64_t Weight = 1;
  Labels Own;
  Selector Allow;
  std::vector<std::string> Selectors;
};

/// A named selector that other objects refer to.
struct NamedSelector {
  Selector Match;
};

/// VMs that receive no new requests.
struct Drain {
  std::vector<VmId> Vms;
  std::optional<Selector> Match;
};

/// Labels that all VMs of a data centre inherit.
struct DataCentre {
  Labels Own;
};

enum class ObjectKind {
  Deployment,
  Service,
  Workspace,
  Selector,
  Drain,
  DataCentre
};

std::string kindName(ObjectKind Kind);
std::optional<ObjectKind> kindFromName(const std::string &Name);

struct ObjectKey {
  ObjectKind Kind{};
  std::string Name;
  // Defaulted by the compiler. NOLINTNEXTLINE
  auto operator<=>(const ObjectKey &) const = default;
  std::string text() const;
};

/// A published object. Revision is one more than the offset of its record, so
/// that zero means "does not exist".
struct Object {
  ObjectKey Key;
  std::uint64_t Revision = 0;
  /// When its record was written, by the clock of the writer.
  WallMs Written;
  std::string Body;
  std::variant<Deployment, Service, Workspace, NamedSelector, Drain, DataCentre>
      Spec;

  template <typename T> const T *as() const {
    return std::get_if<T>(&this->Spec);
  }
};

using ObjectRef = std::shared_ptr<const Object>;

/// Parses and validates one YAML document. All errors are added to \p Found,
/// and the result is valid only if there are none.
Object parseObject(const YAML::Node &Document, ValidationErrors &Found);
/// Parses and validates all documents of a file.
std::vector<Object> parseObjects(const std::string &File,
                                 const std::string &Text,
                                 ValidationErrors &Found);
/// Returns the `key_digest` of a workspace whose callers send \p Key.
std::string digestKey(const std::string &Key);

} // namespace waycove
